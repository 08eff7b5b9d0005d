"""Deduplication of requests that are sent again with the same key."""

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


class _KeyFixture:
    """A fleet of three nodes and requests that share one key."""

    def __init__(self, timeline: virtualtime.Timeline, key_time_s: float):
        self.timeline = timeline
        self.fleet = memfleet.MemoryFleet(timeline, 3)
        self.key = faultgrid.make_key(random.Random(1), key_time_s)
        self.sends: list[memfleet.CallerRequest] = []

    @property
    def home(self) -> str:
        """Name of the node that owns the home worker of the key."""
        scope = ledger.scope_digest(
            memfleet.TEAM, memfleet.SERVICE, "stall-7", self.key
        )
        node = next(iter(self.fleet.nodes.values()))
        key_placement = node.forwarder._key_placement
        return key_placement.home_worker(memfleet.SERVICE, scope).split("-")[0]

    def send(self, at: float, node: str = "n0", body: bytes = b"pay") -> None:
        send_id = str(len(self.sends))
        send = memfleet.CallerRequest(send_id, body, False, self.key)
        self.sends.append(send)
        self.fleet.submit(at, node, send)

    def run(self, until: float = 40.0) -> list[codes.Code]:
        self.timeline.run_until(until)
        return [s.result.code for s in self.sends]


class ResendTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timeline = virtualtime.Timeline()
        self.addCleanup(self.timeline.close)

    def _make_fixture(self, key_time_s: float = 25.0) -> _KeyFixture:
        return _KeyFixture(self.timeline, key_time_s)

    def test_a_resend_gets_the_first_answer(self):
        fixture = self._make_fixture()
        fixture.send(25.0, "n0")
        fixture.send(25.003, "n1")
        fixture.send(29.0, "n2")
        self.assertEqual(
            [_C.ANSWERED, _C.ANSWERED_BEFORE, _C.ANSWERED_BEFORE], fixture.run()
        )
        self.assertEqual(1, len(fixture.fleet.runs))
        self.assertEqual(1, len({s.result.reply.body for s in fixture.sends}))

    def test_another_request_with_the_key_is_refused(self):
        fixture = self._make_fixture()
        fixture.send(25.0)
        fixture.send(26.0, body=b"other")
        self.assertEqual([_C.ANSWERED, _C.KEY_REUSED], fixture.run())
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_a_resend_after_a_restart_of_the_home_is_not_covered(self):
        fixture = self._make_fixture()
        fixture.send(25.0)
        self.timeline.call_at(
            26.0, lambda: fixture.fleet.kill(fixture.home, 0.1)
        )
        fixture.send(28.0, "n1")
        fixture.send(28.1, "n2")
        self.assertEqual(_C.KEY_NOT_COVERED, fixture.run()[-1])
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_a_key_made_after_the_restart_runs(self):
        fixture = self._make_fixture(29.0)
        self.timeline.call_at(
            26.0, lambda: fixture.fleet.kill(fixture.home, 0.1)
        )
        fixture.send(29.0, fixture.home)
        self.assertEqual([_C.ANSWERED], fixture.run())

    def test_a_key_from_a_fast_clock_before_the_restart_is_not_covered(self):
        fixture = self._make_fixture(26.5)
        fixture.send(25.0, fixture.home)
        self.timeline.call_at(
            26.0, lambda: fixture.fleet.kill(fixture.home, 0.1)
        )
        fixture.send(28.0, fixture.home)
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], fixture.run())
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_a_home_that_is_down_is_not_replaced(self):
        fixture = self._make_fixture()
        home = fixture.home
        ingress = next(n for n in fixture.fleet.nodes if n != home)

        def mark_home_leaving():
            members = fixture.fleet.nodes[ingress].members
            members.mark_leaving(home, "test")

        self.timeline.call_at(24.0, mark_home_leaving)
        fixture.send(25.0, ingress)
        self.assertEqual([_C.HOME_UNREACHABLE], fixture.run())
        self.assertEqual([], fixture.fleet.runs)

    def test_an_untimed_key_is_covered_after_the_window(self):
        fixture = self._make_fixture()
        fixture.key = "order-17"
        fixture.send(25.0)
        fixture.send(_WINDOW_S + 25.0)
        fixture.send(_WINDOW_S + 26.0, "n1")
        self.assertEqual(
            [_C.KEY_NOT_COVERED, _C.ANSWERED, _C.ANSWERED_BEFORE],
            fixture.run(_WINDOW_S + 40.0),
        )
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_invalid_keys_are_refused(self):
        for key in (
            "x" * 256,
            "caf\u00e9",
            faultgrid.make_key(random.Random(2), 60.0),
        ):
            fixture = self._make_fixture()
            fixture.key = key
            fixture.send(self.timeline.now + 5.0)
            result_codes = fixture.run(self.timeline.now + 20.0)
            self.assertEqual([_C.KEY_INVALID], result_codes)
            self.assertEqual([], fixture.fleet.runs)

    def test_a_key_whose_home_changed_is_not_covered(self):
        fixture = self._make_fixture()
        home = fixture.home
        fixture.send(25.0)
        remaining_workers = [
            w for w in fixture.fleet.targets if not w.startswith(home)
        ]
        edit = memfleet.make_subtree(2, remaining_workers)
        self.timeline.call_at(26.0, lambda: fixture.fleet.edit(edit, 0.0))
        fixture.send(28.0, "n1")
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], fixture.run())
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_a_home_that_starts_just_after_an_edit(self):
        """The home restarts with new settings while another node has old ones.

        The restarted node doesn't know when the list of workers changed, so it
        must not run a key that may have run at the home of the old list.
        """
        fixture = self._make_fixture(48.5)
        home = fixture.home
        remaining_workers = [
            w for w in fixture.fleet.targets if not w.startswith(home)
        ]
        reduced = memfleet.make_subtree(2, remaining_workers)
        restored = memfleet.make_subtree(3, list(fixture.fleet.targets))
        self.timeline.call_at(1.0, lambda: fixture.fleet.edit(reduced, 0.0))

        def restart():
            fixture.fleet.subtree = restored
            fixture.fleet.kill(home, 0.05)

        stale, other = (n for n in fixture.fleet.nodes if n != home)
        self.timeline.call_at(46.0, restart)
        fixture.send(48.5, stale)
        self.timeline.call_at(49.0, lambda: fixture.fleet.edit(restored, 0.0))
        fixture.send(50.0, other)
        result_codes = fixture.run(60.0)
        self.assertEqual([_C.ANSWERED, _C.KEY_NOT_COVERED], result_codes)
        self.assertEqual(1, len(fixture.fleet.runs))

    def test_a_former_home_refuses_a_stale_ingress(self):
        """One ingress still has the old settings long after an edit."""
        fixture = self._make_fixture(120.0)
        home = fixture.home
        ingress = next(n for n in fixture.fleet.nodes if n != home)
        other = next(n for n in fixture.fleet.nodes if n not in (home, ingress))
        edit = memfleet.make_subtree(2, fixture.fleet.target_names(other))

        def apply_edit():
            for name in (home, other):
                node = fixture.fleet.nodes[name]
                node.loop.deliver(lambda n=node: n.store.apply(edit))

        self.timeline.call_at(26.0, apply_edit)
        fixture.send(120.0, other)
        fixture.send(121.0, ingress)
        self.assertEqual([_C.ANSWERED, _C.NOT_HOME], fixture.run(140.0))
        self.assertEqual(1, len(fixture.fleet.runs))


class LedgerTest(testtools.TestCase):
    def _make_ledger(self, **limits: int) -> ledger.Ledger:
        timeline = virtualtime.Timeline()
        self._timeline = timeline
        return ledger.Ledger(virtualtime.VirtualClock(timeline), **limits)

    def _record_finished(
        self, key_ledger: ledger.Ledger, name: bytes, body: bytes
    ):
        time_ms = key_ledger.now_ms()
        entry = key_ledger.begin(name, b"", time_ms)
        reply = wire.Reply(b"id", 200, len(body), b"", body=body)
        key_ledger.finish(entry, reply)
        return time_ms

    def test_eviction_advances_the_coverage(self):
        for limits in ({"max_entries": 5}, {"max_finished_bytes": 3_100}):
            key_ledger = self._make_ledger(**limits)
            self._timeline.now = 10.0
            times = []
            for number in range(20):
                self._timeline.now += 0.1
                name = b"%d" % number
                times.append(self._record_finished(key_ledger, name, b""))
            self.assertIsNone(key_ledger.find(b"14"))
            self.assertIsNotNone(key_ledger.find(b"15"))
            self.assertEqual(
                _C.KEY_NOT_COVERED, key_ledger.refusal_code(times[14], 0)
            )
            self.assertIsNone(key_ledger.refusal_code(times[14] + 1, 0))

    def test_a_large_answer_is_not_kept(self):
        key_ledger = self._make_ledger()
        body = b"x" * (ledger.MAX_STORED_BODY_BYTES + 1)
        self._record_finished(key_ledger, b"a", body)
        replayed = key_ledger.find(b"a").replay(b"other")
        self.assertEqual(_C.ANSWER_NOT_KEPT, replayed.code)

    def test_time_of_creation_in_a_key(self):
        rows = [
            ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000),
            ("f47ac10b-58cc-4372-a567-0e02b2c3d479", 0),
            ("order-17", 0),
            ("", 0),
        ]
        for key, time_ms in rows:
            self.assertEqual(time_ms, ledger.key_time_ms(key), key)


class HoldPolicyTest(testtools.TestCase):
    def test_when_a_policy_holds(self):
        rows = [
            (holding.AlwaysHold(), [True, True]),
            (holding.HoldUnlessHeard(), [False, True]),
            (holding.NeverHold(), [False, False]),
        ]
        for policy, expected in rows:
            decisions = [policy.needs_hold(0.1), policy.needs_hold(60.0)]
            self.assertEqual(expected, decisions)
