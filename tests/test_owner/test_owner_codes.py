"""The outcome of each result code agrees with the targets' run log."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.ingress import holding
from sardinedoor_node.owner import holds
from sardinedoor_node.owner import ledger
from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import faketarget
from sardinedoor_standins import faultgrid
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime

_C = codes.Code

# Refused by the listener of an ingress before the request is forwarded.
_LISTENER_CODES = {
    _C.BAD_REQUEST,
    _C.HEADERS_TOO_LARGE,
    _C.BODY_TOO_LARGE,
    _C.AMBIGUOUS_FRAMING,
    _C.TOO_MANY_CONNECTIONS,
    _C.REQUEST_TOO_SLOW,
    _C.BODIES_OVER_LIMIT,
    _C.NO_ROUTE,
    _C.METHOD_NOT_ALLOWED,
    _C.CREDENTIAL_UNKNOWN,
    _C.CREDENTIAL_UNVERIFIED,
    _C.NODE_STARTING,
}
# Returned by a target dialect or by the entry for published routes, whose own
# tests cover them.
_DIALECT_CODES = {
    _C.TARGET_REFUSED,
    _C.TARGET_REPLACED,
    _C.REPLY_INVALID,
    _C.SETTINGS_UNKNOWN,
    _C.CALLER_LEFT,
}
# Refused by the limits before a slot is offered or reserved.
_LIMIT_CODES = {
    _C.RETRY_BUDGET_SPENT,
    _C.ORGANISATION_OVER_SHARE,
    _C.QUOTA_EXCEEDED,
    _C.CALLED_SERVICE_FULL,
}


class _Fixture:
    """A fleet of the ingress n1 without targets and the owner n0 with one."""

    def __init__(self, timeline: virtualtime.Timeline):
        self.timeline = timeline
        self.faults = faketarget.TargetFaults()
        self.fleet = memfleet.MemoryFleet(
            timeline,
            1,
            nodes=2,
            target_faults=self.faults,
            ingress_only=("n1",),
        )
        self.last_send: memfleet.CallerRequest | None = None
        timeline.run_until(20.0)

    @property
    def owner(self):
        return self.fleet.nodes["n0"].owner

    @property
    def client(self):
        return self.owner._workers["n0-w0"].client

    def send(self, at: float = 24.0, body: bytes = b"pay", **options) -> None:
        send_id = f"{at}-{body[:8].decode()}"
        self.last_send = memfleet.CallerRequest(send_id, body, False, **options)
        self.fleet.submit(at, "n1", self.last_send)

    def key(self, at: float = 24.0) -> str:
        return faultgrid.make_key(random.Random(1), at)

    def drop_messages(self, cls: type) -> None:
        """Drops all messages of a class."""
        self.fleet.network.script = lambda message: (
            [] if isinstance(message, cls) else None
        )


def _answered(fixture: _Fixture) -> None:
    fixture.send()


def _answered_before(fixture: _Fixture) -> None:
    fixture.send(24.0, key=fixture.key())
    fixture.send(25.0, key=fixture.key())


def _no_target(fixture: _Fixture) -> None:
    fixture.fleet.nodes["n1"].members.mark_leaving("n0", "test")
    fixture.send()


def _node_leaving(fixture: _Fixture) -> None:
    fixture.owner.leaving = True
    fixture.send()


def _not_owner(fixture: _Fixture) -> None:
    fixture.owner._workers.clear()
    fixture.send()


def _worker_drained(fixture: _Fixture) -> None:
    fixture.owner._workers["n0-w0"].set_drained(True)
    fixture.send()


def _deadline_expired(fixture: _Fixture) -> None:
    fixture.send(timeout_s=0.0)


def _ticket_lapsed(fixture: _Fixture) -> None:
    delay_s = holds.LAPSE_MS / 1000 + 0.1
    fixture.fleet.network.script = lambda message: (
        [delay_s] if isinstance(message, wire.Go) else None
    )
    fixture.send()


def _link_down(fixture: _Fixture) -> None:
    fixture.fleet.network._faults.refused = 1.0
    fixture.send()


def _hold_timeout(fixture: _Fixture) -> None:
    fixture.drop_messages(wire.Held)
    fixture.send()


def _connect_failed(fixture: _Fixture) -> None:
    target = fixture.fleet.targets["n0-w0"]
    fixture.timeline.call_at(23.99, target.crash)
    fixture.send()


def _not_home(fixture: _Fixture) -> None:
    other_workers = [f"elsewhere-{number}" for number in range(50)]
    edit = memfleet.make_subtree(2, ["n0-w0", *other_workers])
    fixture.fleet.nodes["n0"].store.apply(edit)
    fixture.send(key=fixture.key())


def _quarantined(fixture: _Fixture) -> None:
    fixture.faults.crash_on = b"pay"
    for number in range(3):
        fixture.send(24.0 + number)


def _home_unreachable(fixture: _Fixture) -> None:
    fixture.fleet.nodes["n1"].members.mark_leaving("n0", "test")
    fixture.send(key=fixture.key())


def _key_reused(fixture: _Fixture) -> None:
    fixture.send(24.0, key=fixture.key())
    fixture.send(25.0, b"other", key=fixture.key())


def _key_invalid(fixture: _Fixture) -> None:
    fixture.send(key="x" * (ledger.MAX_KEY_CHARS + 1))


def _error_before_run(fixture: _Fixture) -> None:
    fixture.owner._holds = None
    fixture.send()


def _error_after_run(fixture: _Fixture) -> None:
    fixture.client.run = _make_failing(fixture.client.run)
    fixture.send()


def _make_failing(run):
    async def run_and_fail(*arguments):
        await run(*arguments)
        raise RuntimeError("test")

    return run_and_fail


def _reply_timeout(fixture: _Fixture) -> None:
    fixture.drop_messages(wire.Reply)
    fixture.send()


def _link_lost(fixture: _Fixture) -> None:
    fixture.fleet.nodes[
        "n1"
    ].forwarder._offer_sender._hold_policy = holding.NeverHold()
    fixture.owner._incarnation = bytes(16)
    fixture.send()


def _connection_lost(fixture: _Fixture) -> None:
    fixture.faults.lost_after_run = 1.0
    fixture.send()


def _reply_truncated(fixture: _Fixture) -> None:
    fixture.faults.truncated = 1.0
    fixture.send()


def _key_not_covered(fixture: _Fixture) -> None:
    fixture.send(key=fixture.key(1.0))


def _target_timeout(fixture: _Fixture) -> None:
    fixture.faults.hang = 1.0
    # The target client times out first, so that the refusal reaches the
    # ingress before its own timeout.
    run = fixture.client.run
    fixture.client.run = lambda request, idempotent, remaining_s: run(
        request, idempotent, remaining_s - 0.1
    )
    fixture.send()


def _answer_not_kept(fixture: _Fixture) -> None:
    body = b"x" * (ledger.MAX_STORED_BODY_BYTES + 1)
    fixture.send(24.0, body, key=fixture.key())
    fixture.send(25.0, body, key=fixture.key())


def _queue_full(fixture: _Fixture) -> None:
    worker = fixture.owner._workers["n0-w0"]
    worker._admission.resize(0, 0.0)
    fixture.send()


def _target_leaving(fixture: _Fixture) -> None:
    worker = fixture.owner._workers["n0-w0"]
    reply = target.TargetReply(codes.Code.ANSWERED, status=200)
    reply.announcement.leaving = True
    now = fixture.owner._clock.monotonic()
    worker.observe_reply(reply, now, now)
    fixture.send()


class _RefusingGate:
    """Refuses all offers, as for an ejected worker."""

    def admits(self, offer: wire.Offer) -> bool:
        return False

    def annotate_load(self, name: str, load: wire.Load) -> None:
        load.ejected = True


def _target_ejected(fixture: _Fixture) -> None:
    fixture.owner._workers["n0-w0"].gate = _RefusingGate()
    fixture.send()


def _target_limited(fixture: _Fixture) -> None:
    worker = fixture.owner._workers["n0-w0"]
    reply = target.TargetReply(codes.Code.ANSWERED, status=200)
    reply.announcement.rate_limit = 0.1
    now = fixture.owner._clock.monotonic()
    worker.observe_reply(reply, now, now)
    worker._rate_limiter._tokens = -100.0
    fixture.send()


_SCENARIOS = {
    _C.ANSWERED: _answered,
    _C.ANSWERED_BEFORE: _answered_before,
    _C.NO_TARGET: _no_target,
    _C.NODE_LEAVING: _node_leaving,
    _C.TARGET_LEAVING: _target_leaving,
    _C.TARGET_EJECTED: _target_ejected,
    _C.TARGET_LIMITED: _target_limited,
    _C.NOT_OWNER: _not_owner,
    _C.WORKER_DRAINED: _worker_drained,
    _C.QUEUE_FULL: _queue_full,
    _C.DEADLINE_EXPIRED: _deadline_expired,
    _C.TICKET_LAPSED: _ticket_lapsed,
    _C.LINK_DOWN: _link_down,
    _C.HOLD_TIMEOUT: _hold_timeout,
    _C.CONNECT_FAILED: _connect_failed,
    _C.NOT_HOME: _not_home,
    _C.QUARANTINED: _quarantined,
    _C.HOME_UNREACHABLE: _home_unreachable,
    _C.KEY_REUSED: _key_reused,
    _C.KEY_INVALID: _key_invalid,
    _C.INTERNAL_ERROR_BEFORE_RUN: _error_before_run,
    _C.REPLY_TIMEOUT: _reply_timeout,
    _C.LINK_LOST: _link_lost,
    _C.TARGET_CONNECTION_LOST: _connection_lost,
    _C.REPLY_TRUNCATED: _reply_truncated,
    _C.KEY_NOT_COVERED: _key_not_covered,
    _C.TARGET_TIMEOUT: _target_timeout,
    _C.ANSWER_NOT_KEPT: _answer_not_kept,
    _C.INTERNAL_ERROR_AFTER_RUN: _error_after_run,
}


class ResultCodeTest(testtools.TestCase):
    def test_each_code_is_covered_once(self):
        covered = [
            *_SCENARIOS,
            *_LISTENER_CODES,
            *_LIMIT_CODES,
            *_DIALECT_CODES,
        ]
        self.assertEqual(sorted(codes.Code), sorted(covered))

    def test_outcomes_agree_with_the_run_log(self):
        for code, run_scenario in _SCENARIOS.items():
            with virtualtime.Timeline().closing() as timeline:
                fixture = _Fixture(timeline)
                run_scenario(fixture)
                timeline.run_until(32.0)
                self.assertEqual(code, fixture.last_send.result.code)
                self._check_runs(code, fixture)

    def _check_runs(self, code: codes.Code, fixture: _Fixture) -> None:
        runs = fixture.fleet.runs
        send_runs = [r for r in runs if r.send_id == fixture.last_send.send_id]
        body_runs = [r for r in runs if r.body == fixture.last_send.body]
        if codes.outcome(code) is codes.Outcome.NOT_RUN:
            self.assertEqual([], send_runs, code.name)
        if codes.outcome(code) is codes.Outcome.ANSWERED:
            self.assertEqual(1, len(body_runs), code.name)
            self.assertIn(
                body_runs[0].body, fixture.last_send.result.reply.body
            )
        if code is not _C.QUARANTINED:
            self.assertLessEqual(len(body_runs), 1, code.name)
