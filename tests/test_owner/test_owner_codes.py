"""Each result code, against the run log of the targets."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.ingress import holding
from sardinedoor_node.owner import holds
from sardinedoor_node.owner import ledger
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import faketarget
from sardinedoor_standins import faultgrid
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime

_C = codes.Code

# Refused at the listener, before anything is forwarded.
_AT_THE_LISTENER = {
    _C.BAD_REQUEST,
    _C.HEADERS_TOO_LARGE,
    _C.BODY_TOO_LARGE,
    _C.AMBIGUOUS_FRAMING,
    _C.TOO_MANY_CONNECTIONS,
    _C.REQUEST_TOO_SLOW,
    _C.BODIES_OVER_LIMIT,
    _C.NO_ROUTE,
    _C.METHOD_NOT_ALLOWED,
    _C.NODE_STARTING,
}
# Said by targets in a dialect, or by the entry for published routes; the tests
# of those cover them.
_BY_DIALECTS = {
    _C.TARGET_REFUSED,
    _C.TARGET_REPLACED,
    _C.REPLY_INVALID,
    _C.SETTINGS_UNKNOWN,
    _C.CALLER_LEFT,
}
# Refused by the limits, before anything is offered or reserved.
_BY_THE_LIMITS = {
    _C.RETRY_BUDGET_SPENT,
    _C.ORGANISATION_OVER_SHARE,
}


class _Bench:
    """Ingress n1 without targets, and owner n0 with one."""

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
        self.last: memfleet.Send | None = None
        timeline.run_until(20.0)

    @property
    def owner(self):
        return self.fleet.nodes["n0"].owner

    @property
    def client(self):
        return self.owner._workers["n0-w0"].client

    def send(self, at: float = 24.0, body: bytes = b"pay", **options) -> None:
        send_id = f"{at}-{body[:8].decode()}"
        self.last = memfleet.Send(send_id, body, False, **options)
        self.fleet.submit(at, "n1", self.last)

    def key(self, at: float = 24.0) -> str:
        return faultgrid.make_key(random.Random(1), at)

    def lose(self, cls: type) -> None:
        """Loses all messages of a class."""
        self.fleet.network.script = lambda message: (
            [] if isinstance(message, cls) else None
        )


def _answered(bench: _Bench) -> None:
    bench.send()


def _answered_before(bench: _Bench) -> None:
    bench.send(24.0, key=bench.key())
    bench.send(25.0, key=bench.key())


def _no_target(bench: _Bench) -> None:
    bench.fleet.nodes["n1"].members.mark_leaving("n0", "test")
    bench.send()


def _node_leaving(bench: _Bench) -> None:
    bench.owner.leaving = True
    bench.send()


def _not_owner(bench: _Bench) -> None:
    bench.owner._workers.clear()
    bench.send()


def _worker_drained(bench: _Bench) -> None:
    bench.owner._workers["n0-w0"].drained = True
    bench.send()


def _deadline_expired(bench: _Bench) -> None:
    bench.send(timeout_s=0.0)


def _ticket_lapsed(bench: _Bench) -> None:
    late_s = holds.LAPSE_MS / 1000 + 0.1
    bench.fleet.network.script = lambda message: (
        [late_s] if isinstance(message, wire.Go) else None
    )
    bench.send()


def _link_down(bench: _Bench) -> None:
    bench.fleet.network._faults.refused = 1.0
    bench.send()


def _hold_timeout(bench: _Bench) -> None:
    bench.lose(wire.Held)
    bench.send()


def _connect_failed(bench: _Bench) -> None:
    target = bench.fleet.targets["n0-w0"]
    bench.timeline.call_at(23.99, target.crash)
    bench.send()


def _not_home(bench: _Bench) -> None:
    others = [f"elsewhere-{number}" for number in range(50)]
    edit = memfleet.make_subtree(2, ["n0-w0", *others])
    bench.fleet.nodes["n0"].store.offer(edit)
    bench.send(key=bench.key())


def _quarantined(bench: _Bench) -> None:
    bench.faults.crash_on = b"pay"
    for number in range(3):
        bench.send(24.0 + number)


def _home_unreachable(bench: _Bench) -> None:
    bench.fleet.nodes["n1"].members.mark_leaving("n0", "test")
    bench.send(key=bench.key())


def _key_reused(bench: _Bench) -> None:
    bench.send(24.0, key=bench.key())
    bench.send(25.0, b"other", key=bench.key())


def _key_invalid(bench: _Bench) -> None:
    bench.send(key="x" * (ledger.MAX_KEY_CHARS + 1))


def _error_before_run(bench: _Bench) -> None:
    bench.owner._holds = None
    bench.send()


def _error_after_run(bench: _Bench) -> None:
    bench.client.run = _failing(bench.client.run)
    bench.send()


def _failing(run):
    async def run_and_fail(*arguments):
        await run(*arguments)
        raise RuntimeError("test")

    return run_and_fail


def _reply_timeout(bench: _Bench) -> None:
    bench.lose(wire.Reply)
    bench.send()


def _link_lost(bench: _Bench) -> None:
    bench.fleet.nodes["n1"].forwarder._offers._policy = holding.NeverHold()
    bench.owner._incarnation = bytes(16)
    bench.send()


def _connection_lost(bench: _Bench) -> None:
    bench.faults.lost_after_run = 1.0
    bench.send()


def _truncated(bench: _Bench) -> None:
    bench.faults.truncated = 1.0
    bench.send()


def _key_not_covered(bench: _Bench) -> None:
    bench.send(key=bench.key(1.0))


def _target_timeout(bench: _Bench) -> None:
    bench.faults.hang = 1.0
    # The owner's refusal has to arrive before the ingress gives up.
    run = bench.client.run
    bench.client.run = lambda request, idempotent, remaining_s: run(
        request, idempotent, remaining_s - 0.1
    )
    bench.send()


def _answer_not_kept(bench: _Bench) -> None:
    body = b"x" * (ledger.MAX_KEPT_BODY_BYTES + 1)
    bench.send(24.0, body, key=bench.key())
    bench.send(25.0, body, key=bench.key())


def _queue_full(bench: _Bench) -> None:
    worker = bench.owner._workers["n0-w0"]
    worker._admission.resize(0, 0.0)
    bench.send()


def _target_leaving(bench: _Bench) -> None:
    worker = bench.owner._workers["n0-w0"]
    reply = target.TargetReply(codes.Code.ANSWERED, 200)
    reply.headers.add(workers.LEAVING_HEADER, "1")
    worker.heard(reply, bench.owner._clock.monotonic())
    bench.send()


class _ClosedGate:
    """Takes the worker for ejected."""

    def admits(self, offer: wire.Offer) -> bool:
        return False

    def describe(self, name: str, load: wire.Load) -> None:
        load.ejected = True


def _target_ejected(bench: _Bench) -> None:
    bench.owner._workers["n0-w0"].gate = _ClosedGate()
    bench.send()


_ROWS = {
    _C.ANSWERED: _answered,
    _C.ANSWERED_BEFORE: _answered_before,
    _C.NO_TARGET: _no_target,
    _C.NODE_LEAVING: _node_leaving,
    _C.TARGET_LEAVING: _target_leaving,
    _C.TARGET_EJECTED: _target_ejected,
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
    _C.REPLY_TRUNCATED: _truncated,
    _C.KEY_NOT_COVERED: _key_not_covered,
    _C.TARGET_TIMEOUT: _target_timeout,
    _C.ANSWER_NOT_KEPT: _answer_not_kept,
    _C.INTERNAL_ERROR_AFTER_RUN: _error_after_run,
}


class EachCodeTest(testtools.TestCase):
    def test_each_code_is_in_one_table(self):
        known = [*_ROWS, *_AT_THE_LISTENER, *_BY_THE_LIMITS, *_BY_DIALECTS]
        self.assertEqual(sorted(codes.Code), sorted(known))

    def test_outcomes_are_true(self):
        for code, prepare in _ROWS.items():
            with virtualtime.Timeline().closing() as timeline:
                bench = _Bench(timeline)
                prepare(bench)
                timeline.run_until(32.0)
                self.assertEqual(code, bench.last.outcome.code)
                self._compare(code, bench)

    def _compare(self, code: codes.Code, bench: _Bench) -> None:
        runs = bench.fleet.runs
        own = [r for r in runs if r.send_id == bench.last.send_id]
        same = [r for r in runs if r.body == bench.last.body]
        if codes.outcome(code) is codes.Outcome.NOT_RUN:
            self.assertEqual([], own, code.name)
        if codes.outcome(code) is codes.Outcome.ANSWERED:
            self.assertEqual(1, len(same), code.name)
            self.assertIn(same[0].body, bench.last.outcome.reply.body)
        if code is not _C.QUARANTINED:
            self.assertLessEqual(len(same), 1, code.name)
