"""Counts and detection times from samples and run logs."""

from __future__ import annotations

import testtools

from sardinedoor_standins import load
from sardinedoor_standins import target
from sardinedoor_standins import verdict

_FATE = load.Fate


def _sample(number: int, fate: load.Fate, idempotent: bool = False):
    return load.Sample(f"r{number}", "f", idempotent, 0.0, fate)


def _log(*ids: str, start: float = 0.0, step: float = 0.1):
    return [
        target.Run(request_id, "POST", "/", start + n * step)
        for n, request_id in enumerate(ids)
    ]


class CountTest(testtools.TestCase):
    CASES = (
        ("answered once", _FATE.ANSWERED, False, ["r1"], []),
        ("post ran twice", _FATE.ANSWERED, False, ["r1", "r1"], ["doubled"]),
        ("get ran twice", _FATE.ANSWERED, True, ["r1", "r1"], []),
        ("not run", _FATE.NOT_RUN, False, [], []),
        ("not run but ran", _FATE.NOT_RUN, False, ["r1"], ["false_not_run"]),
        ("get not run but ran", _FATE.NOT_RUN, True, ["r1"], ["false_not_run"]),
        ("unknown and ran", _FATE.UNKNOWN, False, ["r1"], []),
        ("cut", _FATE.CUT, True, [], ["cut"]),
    )

    def test_broken_promises(self):
        for name, fate, idempotent, ids, broken in self.CASES:
            counts = verdict.count_results(
                [_sample(1, fate, idempotent)], {"w": _log(*ids)}
            )
            self.assertEqual(broken, counts.broken, name)

    def test_runs_on_two_targets_count_as_doubled(self):
        logs = {"a": _log("r1"), "b": _log("r1")}
        counts = verdict.count_results([_sample(1, _FATE.ANSWERED)], logs)
        self.assertEqual(1, counts.doubled)

    def test_foreign_answer(self):
        sample = _sample(1, _FATE.ANSWERED)
        sample.foreign = True
        counts = verdict.count_results([sample], {"w": _log("r1")})
        self.assertEqual(["foreign"], counts.broken)


class DetectionTest(testtools.TestCase):
    def test_detection_ends_at_the_first_long_gap(self):
        log = _log("a", "b", "c", start=10.0) + _log("d", start=14.0)
        found = verdict.measure_detection(log, 10.0, 20.0)
        self.assertEqual(3, found.outcomes)
        self.assertAlmostEqual(0.2, found.seconds)
        self.assertTrue(found.detected)

    def test_runs_before_the_fault_do_not_count(self):
        found = verdict.measure_detection(_log("a", "b", start=1.0), 5.0, 20.0)
        self.assertIsNone(found)

    def test_steady_traffic_is_not_detected(self):
        log = _log(*("r" for _ in range(100)), start=10.0)
        found = verdict.measure_detection(log, 10.0, 20.0)
        self.assertFalse(found.detected)
        self.assertEqual(100, found.outcomes)
