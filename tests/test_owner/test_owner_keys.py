"""What a resend with the same key gets."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.ingress import holding
from sardinedoor_node.owner import ledger
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import faultgrid
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime

_C = codes.Code
_WINDOW_S = ledger.UNTIMED_WINDOW_MS / 1000


class _KeyBench:
    """Three nodes, and sends that share one key."""

    def __init__(self, timeline: virtualtime.Timeline, key_time_s: float):
        self.timeline = timeline
        self.fleet = memfleet.MemoryFleet(timeline, 3)
        self.key = faultgrid.make_key(random.Random(1), key_time_s)
        self.sends: list[memfleet.Send] = []

    @property
    def home(self) -> str:
        """Name of the node that owns the home."""
        name = ledger.scope(
            memfleet.TEAM, memfleet.SERVICE, "stall-7", self.key
        )
        node = next(iter(self.fleet.nodes.values()))
        homes = node.forwarder._homes
        return homes.home(memfleet.SERVICE, name).split("-")[0]

    def send(self, at: float, node: str = "n0", body: bytes = b"pay") -> None:
        send_id = str(len(self.sends))
        send = memfleet.Send(send_id, body, False, self.key)
        self.sends.append(send)
        self.fleet.submit(at, node, send)

    def run(self, until: float = 40.0) -> list[codes.Code]:
        self.timeline.run_until(until)
        return [s.outcome.code for s in self.sends]


class ResendTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timeline = virtualtime.Timeline()
        self.addCleanup(self.timeline.close)

    def _bench(self, key_time_s: float = 25.0) -> _KeyBench:
        return _KeyBench(self.timeline, key_time_s)

    def test_a_resend_gets_the_first_answer(self):
        bench = self._bench()
        bench.send(25.0, "n0")
        bench.send(25.003, "n1")
        bench.send(29.0, "n2")
        self.assertEqual(
            [_C.ANSWERED, _C.ANSWERED_BEFORE, _C.ANSWERED_BEFORE], bench.run()
        )
        self.assertEqual(1, len(bench.fleet.runs))
        self.assertEqual(1, len({s.outcome.reply.body for s in bench.sends}))

    def test_another_request_with_the_key_is_refused(self):
        bench = self._bench()
        bench.send(25.0)
        bench.send(26.0, body=b"other")
        self.assertEqual([_C.ANSWERED, _C.KEY_REUSED], bench.run())
        self.assertEqual(1, len(bench.fleet.runs))

    def test_a_resend_after_the_homes_restart_is_unknown(self):
        bench = self._bench()
        bench.send(25.0)
        self.timeline.call_at(26.0, lambda: bench.fleet.kill(bench.home, 0.1))
        bench.send(28.0, "n1")
        bench.send(28.1, "n2")
        self.assertEqual(_C.KEY_NOT_COVERED, bench.run()[-1])
        self.assertEqual(1, len(bench.fleet.runs))

    def test_a_key_made_after_the_restart_runs(self):
        bench = self._bench(29.0)
        self.timeline.call_at(26.0, lambda: bench.fleet.kill(bench.home, 0.1))
        bench.send(29.0, bench.home)
        self.assertEqual([_C.ANSWERED], bench.run())

    def test_a_key_from_a_fast_clock_before_the_restart_is_unknown(self):
        bench = self._bench(26.5)
        bench.send(25.0, bench.home)
        self.timeline.call_at(26.0, lambda: bench.fleet.kill(bench.home, 0.1))
        bench.send(28.0, bench.home)
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], bench.run())
        self.assertEqual(1, len(bench.fleet.runs))

    def test_a_home_that_is_down_is_not_replaced(self):
        bench = self._bench()
        home = bench.home
        ingress = next(n for n in bench.fleet.nodes if n != home)

        def lose():
            members = bench.fleet.nodes[ingress].members
            members.mark_leaving(home, "test")

        self.timeline.call_at(24.0, lose)
        bench.send(25.0, ingress)
        self.assertEqual([_C.HOME_UNREACHABLE], bench.run())
        self.assertEqual([], bench.fleet.runs)

    def test_an_untimed_key_is_vouched_for_after_the_window(self):
        bench = self._bench()
        bench.key = "order-17"
        bench.send(25.0)
        bench.send(_WINDOW_S + 25.0)
        bench.send(_WINDOW_S + 26.0, "n1")
        self.assertEqual(
            [_C.KEY_NOT_COVERED, _C.ANSWERED, _C.ANSWERED_BEFORE],
            bench.run(_WINDOW_S + 40.0),
        )
        self.assertEqual(1, len(bench.fleet.runs))

    def test_keys_that_cannot_be_taken(self):
        for key in (
            "x" * 256,
            "caf\u00e9",
            faultgrid.make_key(random.Random(2), 60.0),
        ):
            bench = self._bench()
            bench.key = key
            bench.send(self.timeline.now + 5.0)
            codes_seen = bench.run(self.timeline.now + 20.0)
            self.assertEqual([_C.KEY_INVALID], codes_seen)
            self.assertEqual([], bench.fleet.runs)

    def test_a_key_that_moved_is_not_vouched_for(self):
        bench = self._bench()
        home = bench.home
        bench.send(25.0)
        left = [w for w in bench.fleet.targets if not w.startswith(home)]
        edit = memfleet.make_subtree(2, left)
        self.timeline.call_at(26.0, lambda: bench.fleet.edit(edit, 0.0))
        bench.send(28.0, "n1")
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], bench.run())
        self.assertEqual(1, len(bench.fleet.runs))

    def test_a_home_that_starts_just_after_an_edit(self):
        """It can't tell how old its settings are, and others have older."""
        bench = self._bench(48.5)
        home = bench.home
        left = [w for w in bench.fleet.targets if not w.startswith(home)]
        before = memfleet.make_subtree(2, left)
        after = memfleet.make_subtree(3, list(bench.fleet.targets))
        self.timeline.call_at(1.0, lambda: bench.fleet.edit(before, 0.0))

        def restart():
            bench.fleet.subtree = after
            bench.fleet.kill(home, 0.05)

        stale, other = (n for n in bench.fleet.nodes if n != home)
        self.timeline.call_at(46.0, restart)
        bench.send(48.5, stale)
        self.timeline.call_at(49.0, lambda: bench.fleet.edit(after, 0.0))
        bench.send(50.0, other)
        seen = bench.run(60.0)
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], seen)
        self.assertEqual(1, len(bench.fleet.runs))

    def test_a_former_home_refuses_a_stale_ingress(self):
        """Long after an edit, one ingress still has not heard of it."""
        bench = self._bench(120.0)
        home = bench.home
        ingress = next(n for n in bench.fleet.nodes if n != home)
        other = next(n for n in bench.fleet.nodes if n not in (home, ingress))
        edit = memfleet.make_subtree(2, bench.fleet.targets_of(other))

        def spread():
            for name in (home, other):
                node = bench.fleet.nodes[name]
                node.loop.deliver(lambda n=node: n.store.offer(edit))

        self.timeline.call_at(26.0, spread)
        bench.send(120.0, other)
        bench.send(121.0, ingress)
        self.assertEqual([_C.ANSWERED, _C.NOT_HOME], bench.run(140.0))
        self.assertEqual(1, len(bench.fleet.runs))


class LedgerTest(testtools.TestCase):
    def _ledger(self, **bounds: int) -> ledger.Ledger:
        timeline = virtualtime.Timeline()
        self._now = timeline
        return ledger.Ledger(virtualtime.VirtualClock(timeline), **bounds)

    def _finish(self, kept: ledger.Ledger, name: bytes, body: bytes):
        time_ms = kept.now_ms()
        entry = kept.begin(name, b"", time_ms)
        reply = wire.Reply(b"id", 200, len(body), b"", body=body)
        kept.finish(entry, reply)
        return time_ms

    def test_bounds_move_the_coverage(self):
        for bounds in ({"max_entries": 5}, {"max_bytes": 3_100}):
            kept = self._ledger(**bounds)
            self._now.now = 10.0
            times = []
            for number in range(20):
                self._now.now += 0.1
                name = b"%d" % number
                times.append(self._finish(kept, name, b""))
            self.assertIsNone(kept.find(b"14"))
            self.assertIsNotNone(kept.find(b"15"))
            self.assertEqual(_C.KEY_NOT_COVERED, kept.refusal(times[14], 0))
            self.assertIsNone(kept.refusal(times[14] + 1, 0))

    def test_a_large_answer_is_not_kept(self):
        kept = self._ledger()
        body = b"x" * (ledger.MAX_KEPT_BODY_BYTES + 1)
        self._finish(kept, b"a", body)
        repeated = kept.find(b"a").repeat(b"other")
        self.assertEqual(_C.ANSWER_NOT_KEPT, repeated.code)

    def test_time_of_keys(self):
        rows = [
            ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000),
            ("f47ac10b-58cc-4372-a567-0e02b2c3d479", 0),
            ("order-17", 0),
            ("", 0),
        ]
        for key, time_ms in rows:
            self.assertEqual(time_ms, ledger.key_time_ms(key), key)


class PolicyTest(testtools.TestCase):
    def test_table(self):
        rows = [
            (holding.AlwaysHold(), [True, True]),
            (holding.HoldUnlessHeard(), [False, True]),
            (holding.NeverHold(), [False, False]),
        ]
        for policy, expected in rows:
            seen = [policy.holds(0.1), policy.holds(60.0)]
            self.assertEqual(expected, seen)
