"""Picking by least cost: load, failing probability and locality."""

from __future__ import annotations

import heapq
import random

import testtools

from sardinedoor_node.health import markovfilter
from sardinedoor_node.health import worker
from sardinedoor_node.membership import targets
from sardinedoor_node.picking import leastcost
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import views
from sardinedoor_standins import virtualtime

_SLOTS = 3
# Required: at least this share of the healthy targets gets requests within
# each interval of this length.
_MIN_USED_SHARE = 0.7
_INTERVAL_S = 2.0


def _targets(count: int, domains: str) -> list[targets.Target]:
    return [
        targets.Target(
            f"i-{n}", "pay", f"n-{n}", False, domains[n % len(domains)], _SLOTS
        )
        for n in range(count)
    ]


class _Ingress:
    """The picker of one ingress, with reports of simulated owners."""

    def __init__(self, domain: str, seed: int):
        self.time = virtualtime.ManualClock()
        self.picker = leastcost.LeastCostPicker(
            random.Random(seed),
            self.time,
            tracking.Location("own", domain),
            markovfilter.FailureModel(),
        )

    def pick(self, pool, tried):
        """Picks a target, or one that is probably failing as a last resort."""
        choice = self.picker.pick(pool, tried)
        return choice or self.picker.pick_last_resort(pool, tried)

    def report(
        self,
        target: targets.Target,
        failing_probability: float,
        load: int = 0,
    ):
        """Runs a request whose reply carries a report of the target."""
        token = self.picker.request_started(target)
        self.finish(target, token, failing_probability, load)

    def finish(self, target, token, failing_probability: float, load: int = 0):
        """Ends a request with a report of the target."""
        now = self.time.monotonic()
        report = views.Report(load=load, weight=1 - failing_probability)
        self.picker.request_finished(
            target, token, views.Feedback(now, report=report)
        )


class LeastCostPickerTest(testtools.TestCase):
    def test_non_idempotent_requests_avoid_probably_failing_targets(self):
        ingress = _Ingress("a", 1)
        pool = _targets(3, "a")
        ingress.report(pool[0], failing_probability=0.9)
        ingress.report(pool[1], failing_probability=0.4)
        ingress.report(pool[2], failing_probability=0.02)
        for _ in range(20):
            choice = ingress.picker.pick(pool, ())
            self.assertEqual("i-2", choice.target.worker)
            self.assertIs(worker.Rotation.IN, choice.rotation)

    def test_least_probably_failing_is_picked_if_all_are_failing(self):
        ingress = _Ingress("a", 1)
        pool = _targets(3, "a")
        for target, probability in zip(pool, (0.9, 0.7, 0.95), strict=True):
            ingress.report(target, probability)
        self.assertIsNone(ingress.picker.pick(pool, ()))
        choice = ingress.picker.pick_last_resort(pool, ())
        self.assertEqual("i-1", choice.target.worker)
        self.assertIs(worker.Rotation.FLOOR, choice.rotation)

    def test_almost_certainly_failing_target_is_no_last_resort_if_not_idempotent(
        self,
    ):
        ingress = _Ingress("a", 1)
        pool = _targets(2, "a")
        for target in pool:
            ingress.report(target, 0.97)
        self.assertIsNone(ingress.picker.pick_last_resort(pool, ()))
        choice = ingress.picker.pick_last_resort(pool, (), True)
        self.assertIs(worker.Rotation.FLOOR, choice.rotation)

    def test_target_whose_owner_refused_it_for_health_is_a_last_resort(self):
        ingress = _Ingress("a", 1)
        pool = _targets(2, "a")
        ingress.report(pool[0], 0.3)
        ingress.report(pool[1], 0.95)
        for idempotent in (False, True):
            choice = ingress.picker.pick_last_resort(pool, (), idempotent)
            self.assertEqual("i-0", choice.target.worker)
            self.assertIs(worker.Rotation.FLOOR, choice.rotation)

    def test_shortest_queues_are_picked(self):
        ingress = _Ingress("a", 1)
        pool = _targets(4, "a")
        for target, load in zip(pool, (7, 4, 9, 5), strict=True):
            ingress.report(target, failing_probability=0.02, load=load)
        choices = ingress.picker.pick_queues(pool, 2, False, 0.4)
        self.assertEqual(["i-1", "i-3"], [c.target.worker for c in choices])

    def test_first_attempt_of_idempotent_request_is_a_trial(self):
        ingress = _Ingress("a", 1)
        pool = _targets(3, "a")
        for target, probability in zip(pool, (0.9, 0.02, 0.02), strict=True):
            ingress.report(target, probability)
        choice = ingress.picker.pick(pool, (), idempotent=True)
        self.assertEqual("i-0", choice.target.worker)
        self.assertIs(worker.Rotation.TRIAL, choice.rotation)
        retry = ingress.picker.pick(pool, {"i-0"}, idempotent=True)
        self.assertIs(worker.Rotation.IN, retry.rotation)

    def test_local_targets_are_preferred_until_they_are_busy(self):
        ingress = _Ingress("a", 1)
        pool = _targets(6, "ab")
        for target in pool:
            ingress.report(target, failing_probability=0.02)
        local = {t.worker for t in pool if t.failure_domain == "a"}
        for _ in range(20):
            self.assertIn(ingress.picker.pick(pool, ()).target.worker, local)
        for target in pool:
            if target.worker in local:
                ingress.report(target, failing_probability=0.02, load=_SLOTS)
        self.assertNotIn(ingress.picker.pick(pool, ()).target.worker, local)


class UsedShareTest(testtools.TestCase):
    """Healthy targets get requests regardless of the failing ones."""

    def _min_used_share(
        self, domains: str, failing: frozenset[str], load: float, seed: int
    ) -> float:
        """Simulates requests for several intervals.

        Args:
            domains: Failure domain of each ingress.
            failing: Names of the targets that report that they are failing.
            load: Mean share of all slots in use.
            seed: Seed of the arrivals and the pickers.

        Returns:
            The lowest share, over all intervals, of the healthy targets that
            got requests.
        """
        pool = _targets(12, "abc")
        service_s = 0.25
        rng = random.Random(seed)
        ingresses = [_Ingress(d, seed + n) for n, d in enumerate(domains)]
        rate_per_s = load * len(pool) * _SLOTS / service_s
        busy_slots = dict.fromkeys((t.worker for t in pool), 0)
        running: list[tuple] = []
        used_by_interval: dict[int, set[str]] = {}
        at = 0.0
        while at < 5 * _INTERVAL_S:
            at += rng.expovariate(rate_per_s)
            while running and running[0][0] <= at:
                _, _, ingress, target, token = heapq.heappop(running)
                busy_slots[target.worker] -= 1
                probability = 0.9 if target.worker in failing else 0.02
                ingress.finish(
                    target, token, probability, busy_slots[target.worker]
                )
            ingress = rng.choice(ingresses)
            for other in ingresses:
                other.time.now_s = 100.0 + at
            tried: set[str] = set()
            while (choice := ingress.pick(pool, tried)) is not None:
                target = choice.target
                token = ingress.picker.request_started(target)
                refused = target.worker in failing and (
                    choice.rotation is worker.Rotation.IN
                )
                if busy_slots[target.worker] < _SLOTS and not refused:
                    busy_slots[target.worker] += 1
                    used_by_interval.setdefault(
                        int(at / _INTERVAL_S), set()
                    ).add(target.worker)
                    end = at + service_s
                    heapq.heappush(
                        running, (end, id(token), ingress, target, token)
                    )
                    break
                probability = 0.9 if target.worker in failing else 0.02
                ingress.finish(
                    target, token, probability, busy_slots[target.worker]
                )
                tried.add(target.worker)
        healthy = {t.worker for t in pool} - failing
        complete = list(used_by_interval.values())[:-1]
        return min(len(used & healthy) / len(healthy) for used in complete)

    def test_ingresses_in_all_domains(self):
        for seed in range(10):
            failing = frozenset({"i-0", "i-3", "i-4"})
            share = self._min_used_share("aabbcc", failing, 0.4, seed)
            self.assertGreaterEqual(share, _MIN_USED_SHARE, seed)

    def test_ingresses_in_one_domain_with_half_its_targets_failing(self):
        for seed in range(10):
            failing = frozenset({"i-0", "i-3"})
            share = self._min_used_share("aaaa", failing, 0.3, seed)
            self.assertGreaterEqual(share, _MIN_USED_SHARE, seed)


class RateLimitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ingress = _Ingress("a", 1)
        self.pool = _targets(4, "a")

    def _report(self, target: targets.Target, report: views.Report) -> None:
        now = self.ingress.time.monotonic()
        picker = self.ingress.picker
        token = picker.request_started(target)
        picker.request_finished(
            target, token, views.Feedback(now, report=report)
        )

    def _picked(self, pool: list[targets.Target]) -> set[str]:
        picker = self.ingress.picker
        return {picker.pick(pool, ()).target.worker for _ in range(50)}

    def test_target_whose_limit_is_used_up_is_picked_last(self):
        limited = self.pool[:2]
        for target in limited:
            self._report(target, views.Report(rate_limit=1.0, wait_s=0.8))
        self.assertEqual({"i-2", "i-3"}, self._picked(self.pool))
        self.assertEqual({"i-0", "i-1"}, self._picked(limited))

    def test_limited_target_is_used_when_the_others_are_loaded(self):
        self._report(self.pool[0], views.Report(rate_limit=1.0))
        for load, expected in ((0, {"i-1"}), (_SLOTS, {"i-0"})):
            self._report(self.pool[1], views.Report(load=load))
            self.assertEqual(expected, self._picked(self.pool[:2]))

    def test_request_does_not_wait_where_the_limit_admits_it_too_late(self):
        for target, wait_s in zip(self.pool, (0.0, 0.3, 0.5), strict=False):
            self._report(target, views.Report(rate_limit=1.0, wait_s=wait_s))
        choices = self.ingress.picker.pick_queues(self.pool[:3], 3, False, 0.4)
        self.assertEqual(["i-0", "i-1"], [c.target.worker for c in choices])

    def test_each_refusal_for_the_limit_doubles_the_time_until_the_next_offer(
        self,
    ):
        target = self.pool[0]
        refusal = views.Report(
            rate_limit=1.0, wait_s=0.5, refused_by_limit=True
        )
        admission = views.Report(rate_limit=1.0, wait_s=0.5)
        # Report, time until the next offer, in s.
        rows = [
            (admission, 0.5),
            (refusal, 1.0),
            (refusal, 2.0),
            (refusal, 4.0),
            (refusal, 4.0),
            (admission, 0.5),
        ]
        now = self.ingress.time.monotonic()
        for report, delay_s in rows:
            self._report(target, report)
            limit = self.ingress.picker.rate_limit(target)
            self.assertEqual(now + delay_s, limit.retry_at)

    def test_owner_that_does_not_know_the_limit_does_not_end_it(self):
        target = self.pool[0]
        # Report, limit known afterwards.
        rows = [
            (views.Report(rate_limit=1.0), 1.0),
            (views.Report(unheard=True), 1.0),
            (views.Report(rate_limit=2.0, unheard=True), 2.0),
            (views.Report(), None),
        ]
        for report, expected in rows:
            self._report(target, report)
            limit = self.ingress.picker.rate_limit(target)
            self.assertEqual(expected, limit.rate if limit else None)


class UnprovenTargetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ingress = _Ingress("a", 1)
        self.pool = _targets(20, "ab")

    def test_word_of_a_node_brings_one_request_that_may_be_repeated(self):
        picker = self.ingress.picker
        picker.worker_unproven("n-7")
        self.assertNotEqual(
            "i-7", picker.pick(self.pool, set(), False).target.worker
        )
        self.assertEqual(
            "i-7", picker.pick(self.pool, set(), True).target.worker
        )
        self.assertFalse(picker._unproven_at)

    def test_old_word_says_nothing(self):
        self.ingress.picker.worker_unproven("n-7")
        self.ingress.time.now_s += 1.5
        pool = [t for t in self.pool if t.failure_domain == "a"]
        pool.append(self.pool[7])
        choice = self.ingress.picker.pick(pool, set(), True)
        self.assertNotEqual("i-7", choice.target.worker)
