"""Single faults at each message of an exchange, checked by the run log."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import testtools

from sardinedoor_node.ingress import holding
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import faketarget
from sardinedoor_standins import memfleet
from sardinedoor_standins import memlink
from sardinedoor_standins import virtualtime

_D = memlink.DELAY_S
_C = codes.Code


@dataclasses.dataclass(slots=True)
class _Row:
    """A fault, and the result that a request that isn't idempotent must have.

    Attributes:
        name: Name of the fault.
        message_class: Messages that meet the fault.
        delays_s: Delays at which copies arrive, in s; empty for a lost frame.
        code: Expected result code.
        runs: Expected number of runs.
        direct: Whether the offer carries the request, without a hold.
    """

    name: str
    message_class: type
    delays_s: list[float]
    code: codes.Code
    runs: int
    direct: bool = False


# The fleet has a single node with one target, so there is no retry elsewhere.
_ROWS = [
    _Row("none", wire.Cancel, [_D], _C.ANSWERED, 1),
    _Row("offer lost", wire.Offer, [], _C.HOLD_TIMEOUT, 0),
    _Row("offer late", wire.Offer, [0.45], _C.HOLD_TIMEOUT, 0),
    _Row("offer duplicated", wire.Offer, [_D, _D], _C.ANSWERED, 1),
    _Row("offer duplicated late", wire.Offer, [_D, 1.0], _C.ANSWERED, 1),
    _Row("held lost", wire.Held, [], _C.HOLD_TIMEOUT, 0),
    _Row("held late", wire.Held, [0.45], _C.HOLD_TIMEOUT, 0),
    _Row("held duplicated", wire.Held, [_D, _D], _C.ANSWERED, 1),
    _Row("go lost", wire.Go, [], _C.REPLY_TIMEOUT, 0),
    _Row("go after the lapse", wire.Go, [0.6], _C.TICKET_LAPSED, 0),
    _Row("go duplicated", wire.Go, [_D, _D], _C.ANSWERED, 1),
    _Row("go duplicated late", wire.Go, [_D, 0.9], _C.ANSWERED, 1),
    _Row(
        "go duplicated after the lapse",
        wire.Go,
        [0.6, 0.7],
        _C.TICKET_LAPSED,
        0,
    ),
    _Row("reply lost", wire.Reply, [], _C.REPLY_TIMEOUT, 1),
    _Row("reply duplicated", wire.Reply, [_D, 0.5], _C.ANSWERED, 1),
    _Row("reply late", wire.Reply, [5.0], _C.REPLY_TIMEOUT, 1),
    _Row("direct lost", wire.Offer, [], _C.REPLY_TIMEOUT, 0, True),
    _Row("direct duplicated", wire.Offer, [_D, _D], _C.ANSWERED, 1, True),
    _Row("direct duplicated late", wire.Offer, [_D, 0.9], _C.ANSWERED, 1, True),
    _Row("direct reply lost", wire.Reply, [], _C.REPLY_TIMEOUT, 1, True),
]


def _script(row: _Row) -> memlink.Script:
    def script(message):
        return row.delays_s if isinstance(message, row.message_class) else None

    return script


class _Fixture:
    """A fleet and the requests sent through one of its nodes."""

    def __init__(
        self,
        timeline: virtualtime.Timeline,
        policy: holding.HoldPolicy,
        faults: faketarget.TargetFaults | None = None,
        nodes: int = 1,
    ):
        self.timeline = timeline
        self.fleet = memfleet.MemoryFleet(
            timeline,
            1,
            nodes=nodes,
            target_faults=faults,
            policy=policy,
            ingress_only=("n1",),
        )

    def send(
        self,
        send_id: str = "a",
        at: float = 3.0,
        node: str = "n0",
        key: str = "",
        body: bytes = b"pay",
    ) -> memfleet.CallerRequest:
        send = memfleet.CallerRequest(send_id, body, False, key)
        self.fleet.submit(at, node, send)
        return send

    def on_first_message(
        self, message_class: type, delay_s: float, action: Callable[[], None]
    ) -> None:
        """Schedules an action after the first message of a class.

        Args:
            message_class: The class.
            delay_s: Time from the message to the action, in s.
            action: The action.
        """
        performed = []

        def script(message):
            if isinstance(message, message_class) and not performed:
                performed.append(True)
                self.timeline.call_at(self.timeline.now + delay_s, action)

        self.fleet.network.script = script

    def run(self) -> None:
        self.timeline.run_until(9.0)


class SingleFaultTest(testtools.TestCase):
    def test_result_code_and_runs_by_fault(self):
        for row in _ROWS:
            with virtualtime.Timeline().closing() as timeline:
                policy = holding.AlwaysHold()
                if row.direct:
                    policy = holding.NeverHold()
                fixture = _Fixture(timeline, policy)
                fixture.fleet.network.script = _script(row)
                send = fixture.send()
                fixture.run()
                observed = (send.result.code, len(fixture.fleet.runs))
                self.assertEqual((row.code, row.runs), observed, row.name)
                open_exchanges = fixture.fleet.nodes["n0"].owner.open_exchanges
                self.assertEqual(0, open_exchanges, row.name)


class PauseAndKillTest(testtools.TestCase):
    def _run(
        self, action: str, message_class: type, delay_s: float, seconds: float
    ):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _Fixture(timeline, holding.AlwaysHold(), nodes=2)
            fleet = fixture.fleet
            ingress = fleet.nodes["n1"]
            actions = {
                "freeze ingress": lambda: ingress.loop.freeze(seconds),
                "freeze owner": lambda: fleet.nodes["n0"].loop.freeze(seconds),
                "kill owner": lambda: fleet.kill("n0", seconds),
            }
            fixture.on_first_message(message_class, delay_s, actions[action])
            send = fixture.send(node="n1")
            fixture.run()
            return send.result.code, len(fleet.runs)

    def test_result_code_and_runs_by_pause_or_kill(self):
        rows = [
            ("freeze ingress", wire.Held, 0.001, 0.7, _C.HOLD_TIMEOUT, 0),
            ("freeze ingress", wire.Held, 0.001, 0.3, _C.ANSWERED, 1),
            ("freeze ingress", wire.Go, 0.001, 0.7, _C.ANSWERED, 1),
            ("freeze ingress", wire.Go, 0.001, 2.5, _C.ANSWERED, 1),
            ("freeze owner", wire.Offer, 0.001, 0.7, _C.HOLD_TIMEOUT, 0),
            ("freeze owner", wire.Go, 0.001, 0.3, _C.ANSWERED, 1),
            ("freeze owner", wire.Go, 0.001, 0.7, _C.TICKET_LAPSED, 0),
            ("freeze owner", wire.Go, 0.001, 2.5, _C.REPLY_TIMEOUT, 0),
            ("kill owner", wire.Held, 0.001, 0.02, _C.REPLY_TIMEOUT, 0),
            ("kill owner", wire.Go, 0.001, 0.02, _C.REPLY_TIMEOUT, 0),
            ("kill owner", wire.Go, 0.005, 0.02, _C.REPLY_TIMEOUT, 1),
        ]
        for action, message_class, delay_s, seconds, code, runs in rows:
            observed = self._run(action, message_class, delay_s, seconds)
            name = (
                f"{action} {delay_s} s after {message_class.__name__}"
                f" for {seconds} s"
            )
            self.assertEqual((code, runs), observed, name)

    def test_target_that_drains_during_the_hold_gets_no_request(self):
        """A `Go` that came later still started it."""
        with virtualtime.Timeline().closing() as timeline:
            fixture = _Fixture(timeline, holding.AlwaysHold(), nodes=2)
            worker = fixture.fleet.nodes["n0"].owner._workers["n0-w0"]
            fixture.on_first_message(
                wire.Held, 0.001, lambda: worker.set_drained(True)
            )
            send = fixture.send(node="n1")
            fixture.run()
            self.assertEqual(_C.WORKER_DRAINED, send.result.code)
            self.assertEqual([], fixture.fleet.runs)

    def test_duplicate_offer_reaches_a_later_incarnation(self):
        """Its refusal must not be mistaken for the outcome of the `Go`.

        The owner restarts after the `Go`, and the new process refuses the late
        duplicate of the offer.
        """
        with virtualtime.Timeline().closing() as timeline:
            fixture = _Fixture(timeline, holding.AlwaysHold(), nodes=2)
            fleet = fixture.fleet

            def script(message):
                if isinstance(message, wire.Offer):
                    return [_D, 0.1]
                if isinstance(message, wire.Go):
                    restart_time = timeline.now + 0.004
                    timeline.call_at(
                        restart_time, lambda: fleet.kill("n0", 0.01)
                    )
                    timeline.call_at(restart_time + 0.02, drain)
                return None

            def drain():
                fleet.nodes["n0"].owner.leaving = True

            fleet.network.script = script
            send = fixture.send(node="n1")
            fixture.run()
            self.assertEqual(1, len(fleet.runs))
            self.assertEqual(_C.REPLY_TIMEOUT, send.result.code)

    def test_duplicate_direct_request_reaches_a_later_incarnation(self):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _Fixture(timeline, holding.NeverHold(), nodes=2)
            fixture.fleet.network.script = lambda message: (
                [_D, 0.1] if isinstance(message, wire.Offer) else None
            )
            timeline.call_at(3.02, lambda: fixture.fleet.kill("n0", 0.02))
            fixture.send(node="n1")
            fixture.run()
            self.assertEqual(1, len(fixture.fleet.runs))
