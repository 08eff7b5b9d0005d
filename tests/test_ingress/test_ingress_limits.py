"""Load on targets that announce how many requests a second they accept."""

from __future__ import annotations

import bisect
import logging

import testtools

from sardinedoor_standins import loadsim
from sardinedoor_standins import spelltarget

_WORK_S = 0.27
# A target may get one and a half times its limit in any span of this length,
# and a few requests more.
_SPAN_S = 4.0
_TOLERANCE = 1.5
_EXTRA_REQUESTS = 5
# Time after the first announcement from which the limit must be kept.
_NOTICE_S = 3.0
# Requests count from ingresses that have known the limit for this long.
_KNOWN_S = 0.5
_WARM_UP_S = 4.0


def _play(
    rate: float,
    seed: int,
    plan: spelltarget.Plan,
    restarts: tuple[float, ...] = (),
) -> tuple[list[loadsim.Tally], loadsim.LoadFleet]:
    logging.disable(logging.CRITICAL)
    try:
        fleet = loadsim.LoadFleet(plan, seed)
        for at in restarts:
            fleet.restart_owners_at(at)
        tallies = fleet.run(
            [
                loadsim.Load(0.25 * rate, True, _WORK_S, priority=7),
                loadsim.Load(0.75 * rate, False, _WORK_S, priority=8),
            ],
            12.0,
            _WARM_UP_S,
        )
        return tallies, fleet
    finally:
        logging.disable(logging.NOTSET)


def _largest_excess(fleet: loadsim.LoadFleet) -> float:
    """Returns by how many requests the worst span of a target is too high."""
    worst = float("-inf")
    allowed = _TOLERANCE * _SPAN_S * fleet.plan.rate_limit + _EXTRA_REQUESTS
    for client in fleet.clients:
        if client.announcement.rate_limit is None or not client.arrivals:
            continue
        since = client.arrivals[0].at + _NOTICE_S
        counted = [
            arrival.at
            for arrival in client.arrivals
            if arrival.at >= since and arrival.known_s >= _KNOWN_S
        ]
        for number, at in enumerate(counted):
            end = bisect.bisect_right(counted, at + _SPAN_S)
            worst = max(worst, end - number - allowed)
    return worst


class RateLimitTest(testtools.TestCase):
    def test_targets_get_no_more_requests_than_their_announced_limit(self):
        for seed in (1, 2, 3):
            for rate_limit in (1.0, 2.5):
                plan = spelltarget.Plan(
                    nodes=24,
                    domains=3,
                    slots=3,
                    failing_share=0.0,
                    limited_share=0.7,
                    rate_limit=rate_limit,
                )
                tallies, fleet = _play(70.0, seed, plan)
                self.assertLessEqual(_largest_excess(fleet), 0, seed)
                # The other targets have slots for all requests.
                counts = loadsim.outcome_counts(tallies)
                self.assertGreaterEqual(
                    counts["in_time"], 0.97 * counts["asked"]
                )
                self.assertEqual(0, counts["refused"])

    def test_restarted_owners_keep_to_the_announced_limit(self):
        plan = spelltarget.Plan(
            nodes=24,
            domains=3,
            slots=3,
            failing_share=0.0,
            limited_share=0.7,
            rate_limit=0.5,
        )
        for seed in (1, 2):
            restarts = (8.0, 9.0, 10.0, 11.0, 12.0)
            _, fleet = _play(100.0, seed, plan, restarts)
            self.assertLessEqual(_largest_excess(fleet), 0, seed)
