"""Single faults at each message of an exchange, against the run log."""

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
    """A fault, and what must come of a request that isn't idempotent."""

    name: str
    cls: type
    delays_s: list[float]
    code: codes.Code
    runs: int
    direct: bool = False


# One node tries one target, so nothing is retried elsewhere.
_ROWS = [
    _Row("none", wire.Cancel, [_D], _C.ANSWERED, 1),
    _Row("offer lost", wire.Offer, [], _C.HOLD_TIMEOUT, 0),
    _Row("offer late", wire.Offer, [0.45], _C.HOLD_TIMEOUT, 0),
    _Row("offer doubled", wire.Offer, [_D, _D], _C.ANSWERED, 1),
    _Row("offer doubled late", wire.Offer, [_D, 1.0], _C.ANSWERED, 1),
    _Row("held lost", wire.Held, [], _C.HOLD_TIMEOUT, 0),
    _Row("held late", wire.Held, [0.45], _C.HOLD_TIMEOUT, 0),
    _Row("held doubled", wire.Held, [_D, _D], _C.ANSWERED, 1),
    _Row("go lost", wire.Go, [], _C.REPLY_TIMEOUT, 0),
    _Row("go after the lapse", wire.Go, [0.6], _C.TICKET_LAPSED, 0),
    _Row("go doubled", wire.Go, [_D, _D], _C.ANSWERED, 1),
    _Row("go doubled late", wire.Go, [_D, 0.9], _C.ANSWERED, 1),
    _Row(
        "go doubled after the lapse", wire.Go, [0.6, 0.7], _C.TICKET_LAPSED, 0
    ),
    _Row("reply lost", wire.Reply, [], _C.REPLY_TIMEOUT, 1),
    _Row("reply doubled", wire.Reply, [_D, 0.5], _C.ANSWERED, 1),
    _Row("reply late", wire.Reply, [5.0], _C.REPLY_TIMEOUT, 1),
    _Row("direct lost", wire.Offer, [], _C.REPLY_TIMEOUT, 0, True),
    _Row("direct doubled", wire.Offer, [_D, _D], _C.ANSWERED, 1, True),
    _Row("direct doubled late", wire.Offer, [_D, 0.9], _C.ANSWERED, 1, True),
    _Row("direct reply lost", wire.Reply, [], _C.REPLY_TIMEOUT, 1, True),
]


def _script(row: _Row) -> memlink.Script:
    def script(message):
        return row.delays_s if isinstance(message, row.cls) else None

    return script


class _Bench:
    """A fleet, and one request sent through its first node."""

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
    ) -> memfleet.Send:
        send = memfleet.Send(send_id, body, False, key)
        self.fleet.submit(at, node, send)
        return send

    def on_message(
        self, cls: type, delay_s: float, act: Callable[[], None]
    ) -> None:
        """Acts once, a while after the first message of a class."""
        acted = []

        def script(message):
            if isinstance(message, cls) and not acted:
                acted.append(True)
                self.timeline.call_at(self.timeline.now + delay_s, act)

        self.fleet.network.script = script

    def run(self) -> None:
        self.timeline.run_until(9.0)


class OneFaultTest(testtools.TestCase):
    def test_table(self):
        for row in _ROWS:
            with virtualtime.Timeline().closing() as timeline:
                policy = holding.AlwaysHold()
                if row.direct:
                    policy = holding.NeverHold()
                bench = _Bench(timeline, policy)
                bench.fleet.network.script = _script(row)
                send = bench.send()
                bench.run()
                seen = (send.outcome.code, len(bench.fleet.runs))
                self.assertEqual((row.code, row.runs), seen, row.name)
                worker = bench.fleet.nodes["n0"].owner.busy
                self.assertEqual(0, worker, row.name)


class PauseAndKillTest(testtools.TestCase):
    def _run(self, act: str, cls: type, delay_s: float, seconds: float):
        with virtualtime.Timeline().closing() as timeline:
            bench = _Bench(timeline, holding.AlwaysHold(), nodes=2)
            fleet = bench.fleet
            ingress = fleet.nodes["n1"]
            acts = {
                "freeze ingress": lambda: ingress.loop.freeze(seconds),
                "freeze owner": lambda: fleet.nodes["n0"].loop.freeze(seconds),
                "kill owner": lambda: fleet.kill("n0", seconds),
            }
            bench.on_message(cls, delay_s, acts[act])
            send = bench.send(node="n1")
            bench.run()
            return send.outcome.code, len(fleet.runs)

    def test_table(self):
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
        for act, cls, delay_s, seconds, code, runs in rows:
            seen = self._run(act, cls, delay_s, seconds)
            name = f"{act} {delay_s} s after {cls.__name__} for {seconds} s"
            self.assertEqual((code, runs), seen, name)

    def test_offer_doubled_to_a_later_incarnation(self):
        """Its refusal must not pass for one of the go."""
        with virtualtime.Timeline().closing() as timeline:
            bench = _Bench(timeline, holding.AlwaysHold(), nodes=2)
            fleet = bench.fleet

            def script(message):
                if isinstance(message, wire.Offer):
                    return [_D, 0.1]
                if isinstance(message, wire.Go):
                    later = timeline.now + 0.004
                    timeline.call_at(later, lambda: fleet.kill("n0", 0.01))
                    timeline.call_at(later + 0.02, leave)
                return None

            def leave():
                fleet.nodes["n0"].owner.leaving = True

            fleet.network.script = script
            send = bench.send(node="n1")
            bench.run()
            self.assertEqual(1, len(fleet.runs))
            self.assertEqual(_C.REPLY_TIMEOUT, send.outcome.code)

    def test_attached_request_doubled_to_a_later_incarnation(self):
        with virtualtime.Timeline().closing() as timeline:
            bench = _Bench(timeline, holding.NeverHold(), nodes=2)
            bench.fleet.network.script = lambda message: (
                [_D, 0.1] if isinstance(message, wire.Offer) else None
            )
            timeline.call_at(3.02, lambda: bench.fleet.kill("n0", 0.02))
            bench.send(node="n1")
            bench.run()
            self.assertEqual(1, len(bench.fleet.runs))
