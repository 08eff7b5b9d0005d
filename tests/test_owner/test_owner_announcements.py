"""State of a worker that follows from its announcements."""

from __future__ import annotations

import logging

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.owner import announcements
from sardinedoor_node.owner import dialect
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

_C = codes.Code


def _reply(
    limit: str | None = None, code: codes.Code = _C.ANSWERED, status: int = 200
) -> target.TargetReply:
    reply = target.TargetReply(code, status=status)
    if limit is not None:
        reply.headers[dialect.RATE_LIMIT_HEADER] = limit
    reply.announcement = dialect.PlainDialect().announcement(reply.headers)
    return reply


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())


class AnnouncedStateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = _Lines()
        announcements.logger.addHandler(self.lines)
        announcements.logger.setLevel(logging.INFO)
        self.addCleanup(announcements.logger.removeHandler, self.lines)

    def test_limit_lasts_until_a_response_comes_without_it(self):
        state = announcements.AnnouncedState("w", metrics.Metrics())
        # Reply, limit afterwards.
        rows = [
            (_reply(), None),
            (_reply("2.5"), 2.5),
            (_reply("2.5", _C.TARGET_REFUSED, 503), 2.5),
            (_reply(None, _C.TARGET_TIMEOUT, 0), 2.5),
            (_reply(None, _C.TARGET_REPLACED, 421), 2.5),
            (_reply("much"), 2.5),
            (_reply("4", _C.ANSWERED, 500), 4.0),
            (_reply(None, _C.TARGET_REFUSED, 503), None),
            (_reply("-1"), None),
        ]
        for at, (reply, expected) in enumerate(rows):
            state.observe(reply, at - 0.5, float(at))
            self.assertEqual(expected, state.rate_limit, at)

    def test_limit_of_an_ingress_applies_until_the_first_response(self):
        state = announcements.AnnouncedState("w", metrics.Metrics())
        # Limit, age and time of the hint; limit afterwards.
        rows = [
            (2.0, 1.0, 10.0, 2.0),
            (3.0, 2.0, 10.1, 2.0),
            (4.0, 0.5, 10.2, 4.0),
        ]
        for limit, age_s, now, expected in rows:
            state.adopt_rate_limit(limit, age_s, now)
            self.assertEqual(expected, state.rate_limit, now)
        state.observe(_reply(), 10.0, 10.5)
        state.adopt_rate_limit(5.0, 0.0, 11.0)
        self.assertIsNone(state.rate_limit)
        self.assertEqual(
            ["worker limit adopted", "worker limited"] * 2
            + ["worker limit ended"],
            self.lines.messages,
        )

    def test_worker_leaves_until_a_later_request_is_answered_otherwise(self):
        state = announcements.AnnouncedState("w", leaving_lease_s=float("inf"))
        leaving = _reply(code=_C.TARGET_REFUSED, status=503)
        leaving.announcement.leaving = True
        # Reply, when its request was sent and when it came, state afterwards.
        rows = [
            (_reply(), 1.0, 1.5, False),
            (leaving, 1.4, 2.0, True),
            (_reply(), 1.4, 2.1, True),
            (_reply(None, _C.REPLY_INVALID), 3.0, 3.1, True),
            (_reply("much"), 3.0, 3.15, True),
            (leaving, 3.0, 3.2, True),
            (_reply(), 500.0, 500.1, False),
        ]
        for reply, sent_at, now, expected in rows:
            state.observe(reply, sent_at, now)
            self.assertEqual(expected, state.is_leaving(now), now)

    def test_worker_that_was_started_again_announces_nothing(self):
        state = announcements.AnnouncedState("w", metrics.Metrics())
        reply = _reply("2")
        reply.announcement.leaving = True
        state.observe(reply, 1.0, 2.0)
        state.reset(3.0)
        self.assertIsNone(state.rate_limit)
        self.assertFalse(state.is_leaving(3.0))
        self.assertTrue(state.unheard)

    def test_each_change_is_logged_once(self):
        state = announcements.AnnouncedState("w", metrics.Metrics())
        for limit in ("2", "2", "3", "x", "x", None, None):
            state.observe(_reply(limit), 0.5, 1.0)
        self.assertEqual(
            [
                "worker limited",
                "worker limited",
                "announcement ignored",
                "worker limit ended",
            ],
            self.lines.messages,
        )
