"""Quarantine of requests that crash targets, without harm to others."""

from __future__ import annotations

import testtools

from sardinedoor_schema import codes
from sardinedoor_standins import faketarget
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime

_C = codes.Code
_RESEND_S = 0.2


class _CrashFixture:
    """Six nodes whose targets crash on the body `killer`."""

    def __init__(self, timeline: virtualtime.Timeline, seed: int):
        faults = faketarget.TargetFaults(crash_on=b"killer")
        self.timeline = timeline
        self.fleet = memfleet.MemoryFleet(
            timeline, seed, nodes=6, target_faults=faults
        )

    def send(self, at: float, name: str, body: bytes, idempotent: bool):
        send = memfleet.CallerRequest(f"{at}", body, idempotent)
        self.fleet.submit(at, name, send)
        return send

    def set_service_time(self, seconds: float) -> None:
        for target in self.fleet.targets.values():
            target.faults.service_s = seconds

    def crash(self, body: bytes, count: int) -> None:
        """Crashes the targets that ran a body most recently."""
        ran = [r.target for r in self.fleet.runs if r.body == body]
        for name in list(dict.fromkeys(reversed(ran)))[:count]:
            self.fleet.targets[name].crash()

    def crashed_targets(self) -> set[str]:
        return {r.target for r in self.fleet.runs if b"killer" in r.body}


class QuarantineTest(testtools.TestCase):
    def test_resends_through_all_nodes_crash_two_targets_at_most(self):
        for seed in range(10):
            for idempotent in (False, True):
                self._check_resends(seed, idempotent)

    def _check_resends(self, seed: int, idempotent: bool) -> None:
        with virtualtime.Timeline().closing() as timeline:
            fixture = _CrashFixture(timeline, seed)
            names = sorted(fixture.fleet.nodes)
            crash_sends = []
            other_sends = []
            for number in range(30):
                at = 1.0 + number * _RESEND_S
                name = names[number % len(names)]
                crash_sends.append(
                    fixture.send(at, name, b"killer", idempotent)
                )
                # A request that recurs, and one with a unique body.
                for body in (b"popular", b"lookup-%d" % number):
                    other_sends.append(
                        fixture.send(at + 0.01, name, body, True)
                    )
            timeline.run_until(12.0)
            crashes = [r for r in fixture.fleet.runs if r.body == b"killer"]
            self.assertLessEqual(len(crashes), 2)
            self.assertLessEqual(len(fixture.crashed_targets()), 2)
            last_codes = [k.result.code for k in crash_sends[5:]]
            self.assertEqual({_C.QUARANTINED}, set(last_codes))
            result_codes = {s.result.code for s in other_sends}
            self.assertEqual({_C.ANSWERED}, result_codes)

    def test_a_suspect_runs_at_one_target_during_its_trial(self):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _CrashFixture(timeline, 1)
            for target in fixture.fleet.targets.values():
                target.faults.crash_after_s = 0.1
            for number in range(12):
                at = 1.0 + (0.5 + number * 0.01 if number else 0.0)
                fixture.send(at, f"n{number % 6}", b"killer", False)
            timeline.run_until(5.0)
            self.assertEqual(2, len(fixture.crashed_targets()))

    def test_a_trial_at_a_dead_target_ends_at_once(self):
        for seed in range(40):
            with virtualtime.Timeline().closing() as timeline:
                fixture = _CrashFixture(timeline, seed)
                for target in fixture.fleet.targets.values():
                    target.faults.down_s = 60.0
                sends = [
                    fixture.send(
                        1.0 + n * _RESEND_S, f"n{n % 6}", b"killer", False
                    )
                    for n in range(8)
                ]
                timeline.run_until(5.0)
                result_codes = [s.result.code for s in sends]
                self.assertEqual(
                    2, result_codes.count(_C.TARGET_CONNECTION_LOST)
                )

    def test_the_quarantine_expires(self):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _CrashFixture(timeline, 1)
            for number in range(6):
                fixture.send(1.0 + number * _RESEND_S, "n1", b"killer", True)
            late_send = fixture.send(90.0, "n2", b"killer", False)
            timeline.run_until(95.0)
            self.assertEqual(_C.TARGET_CONNECTION_LOST, late_send.result.code)

    def test_an_answer_clears_a_request_in_flight_at_a_crash(self):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _CrashFixture(timeline, 1)
            fixture.set_service_time(0.2)
            first_send = fixture.send(1.0, "n0", b"innocent", False)
            timeline.call_at(1.05, lambda: fixture.crash(b"innocent", 1))
            later_sends = [
                fixture.send(2.0 + n * 0.5, f"n{n}", b"innocent", False)
                for n in range(6)
            ]
            timeline.run_until(9.0)
            lost = _C.TARGET_CONNECTION_LOST
            self.assertEqual(lost, first_send.result.code)
            result_codes = {s.result.code for s in later_sends}
            self.assertEqual({_C.ANSWERED}, result_codes)

    def test_a_recently_answered_request_is_not_suspected(self):
        with virtualtime.Timeline().closing() as timeline:
            fixture = _CrashFixture(timeline, 1)
            for number in range(60):
                at = 1.0 + number * 0.02
                fixture.send(at, f"n{number % 6}", b"popular", True)
            timeline.call_at(2.4, lambda: fixture.set_service_time(0.2))
            for number in range(6):
                fixture.send(2.5, f"n{number}", b"popular", True)
            timeline.call_at(2.55, lambda: fixture.crash(b"popular", 2))
            later_sends = [
                fixture.send(2.6 + n * 0.2, f"n{n % 6}", b"popular", True)
                for n in range(12)
            ]
            timeline.run_until(9.0)
            result_codes = {s.result.code for s in later_sends}
            self.assertEqual({_C.ANSWERED}, result_codes)
