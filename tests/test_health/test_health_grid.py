"""Detection times and false ejections on a grid of faults, with fixed seeds."""

from __future__ import annotations

import statistics

import testtools

from detection import faults
from detection import feed
from detection import stream
from sardinedoor_node.health import sequential

_SEEDS = {6: range(40), 20: range(15)}
_REQUESTS_PER_S = 5.0


def _run(fault: str, detector: str, pool: int) -> list[feed.Verdict]:
    return [
        feed.Feed(feed.Case(fault, detector, pool, _REQUESTS_PER_S, seed)).run()
        for seed in _SEEDS[pool]
    ]


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20, method="inclusive")[-1]


class GridTest(testtools.TestCase):
    def _check(self, fault, pool, max_seconds, max_outcomes=None):
        verdicts = _run(fault, "agora", pool)
        self.assertNotIn(None, [v.seconds for v in verdicts])
        self.assertLessEqual(_p95([v.seconds for v in verdicts]), max_seconds)
        if max_outcomes is not None:
            p95_outcomes = _p95([v.outcomes for v in verdicts])
            self.assertLessEqual(p95_outcomes, max_outcomes)
        healthy = sum(v.healthy_outcomes for v in verdicts)
        allowed = healthy * sequential.false_alarm_probability(1.0)
        self.assertLessEqual(sum(v.false_ejections for v in verdicts), allowed)
        self.assertEqual(0, sum(v.late_work for v in verdicts))
        for verdict in verdicts:
            floor = feed.FLOORS[pool]
            self.assertGreaterEqual(verdict.least_rotation, floor)

    def test_detection_at_highest_sensitivity(self):
        rows = (
            ("errors", 1.5, 5),
            ("fails 1 in 2", 3.0, None),
            ("slow 10x", 3.0, None),
        )
        for pool in (20, 6):
            for fault, max_seconds, max_outcomes in rows:
                with self.subTest(kind=fault, pool=pool):
                    self._check(fault, pool, max_seconds, max_outcomes)

    def test_no_false_alarms_at_lowest_sensitivity(self):
        alarms = stream.alarms(0.0, seed=1, outcomes=200_000)
        self.assertEqual(0, alarms)

    def test_shared_faults_and_cold_starts_eject_no_target(self):
        kinds = [k for k in faults.KINDS.values() if k.shared or k.cold]
        for kind in kinds:
            for detector, pool in (("agora", 6), ("lone star", 8)):
                feeds = [
                    feed.Feed(
                        feed.Case(
                            kind.name, detector, pool, _REQUESTS_PER_S, seed
                        )
                    )
                    for seed in range(3)
                ]
                false_ejections = [f.run().false_ejections for f in feeds]
                self.assertEqual(
                    [0, 0, 0], false_ejections, (kind.name, detector)
                )

    def test_flapping_target_gets_less_traffic_in_each_cycle(self):
        totals = [0.0] * 4
        for seed in range(8):
            case = feed.Case("flaps 30 s", "agora", 6, _REQUESTS_PER_S, seed)
            shares = feed.Feed(case, cycles=4).run().shares
            totals = [a + b for a, b in zip(totals, shares, strict=True)]
        self.assertEqual(sorted(totals, reverse=True), totals)
        self.assertLess(totals[-1], 0.5 * totals[0])
