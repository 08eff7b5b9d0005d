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
            state.observe(reply, float(at))
            self.assertEqual(expected, state.rate_limit, at)

    def test_each_change_is_logged_once(self):
        state = announcements.AnnouncedState("w", metrics.Metrics())
        for limit in ("2", "2", "3", "x", "x", None, None):
            state.observe(_reply(limit), 1.0)
        self.assertEqual(
            [
                "worker limited",
                "worker limited",
                "announcement ignored",
                "worker limit ended",
            ],
            self.lines.messages,
        )
