"""Targets are picked by load, distance and the odds that they are sick."""

from __future__ import annotations

import heapq
import random

import testtools

from sardinedoor_node.health import markovfilter
from sardinedoor_node.health import worker
from sardinedoor_node.membership import targets
from sardinedoor_node.picking import counting
from sardinedoor_node.picking import odds
from sardinedoor_node.picking import views
from sardinedoor_standins import virtualtime

_SLOTS = 3
# The share of sound targets that get work, and the span in which they do, as
# the users' rules state them.
_FLOOR_SHARE = 0.7
_FLOOR_S = 2.0


def _targets(count: int, domains: str) -> list[targets.Target]:
    return [
        targets.Target(
            f"i-{n}", "pay", f"n-{n}", False, domains[n % len(domains)], _SLOTS
        )
        for n in range(count)
    ]


class _Picker:
    """A picker at one ingress, and what its targets would report."""

    def __init__(self, domain: str, seed: int):
        self.time = virtualtime.ManualClock()
        self.picker = odds.OddsPicker(
            random.Random(seed),
            self.time,
            counting.Place("own", domain),
            markovfilter.FailureModel(),
        )

    def report(self, target: targets.Target, sick: float, busy: int = 0):
        """Ends a request at a target that reports its odds."""
        token = self.picker.started(target)
        self.finish(target, token, sick, busy)

    def finish(self, target, token, sick: float, busy: int = 0):
        """Ends a request that was started."""
        now = self.time.monotonic()
        report = views.Report(busy=busy, weight=1 - sick)
        self.picker.finished(target, token, views.Feedback(now, report=report))


class OddsPickerTest(testtools.TestCase):
    def test_work_that_may_run_once_avoids_doubtful_targets(self):
        known = _Picker("a", 1)
        pool = _targets(3, "a")
        known.report(pool[0], sick=0.9)
        known.report(pool[1], sick=0.4)
        known.report(pool[2], sick=0.02)
        for _ in range(20):
            choice = known.picker.pick(pool, ())
            self.assertEqual("i-2", choice.target.worker)
            self.assertIs(worker.Rotation.IN, choice.rotation)

    def test_the_least_doubtful_is_taken_where_all_are_sick(self):
        known = _Picker("a", 1)
        pool = _targets(3, "a")
        for target, sick in zip(pool, (0.9, 0.7, 0.95), strict=True):
            known.report(target, sick)
        choice = known.picker.pick(pool, ())
        self.assertEqual("i-1", choice.target.worker)
        self.assertIs(worker.Rotation.FLOOR, choice.rotation)

    def test_idempotent_work_tries_a_sick_target_first(self):
        known = _Picker("a", 1)
        pool = _targets(3, "a")
        for target, sick in zip(pool, (0.9, 0.02, 0.02), strict=True):
            known.report(target, sick)
        choice = known.picker.pick(pool, (), idempotent=True)
        self.assertEqual("i-0", choice.target.worker)
        self.assertIs(worker.Rotation.TRIAL, choice.rotation)
        again = known.picker.pick(pool, {"i-0"}, idempotent=True)
        self.assertIs(worker.Rotation.IN, again.rotation)

    def test_near_targets_go_first_until_they_are_busy(self):
        known = _Picker("a", 1)
        pool = _targets(6, "ab")
        for target in pool:
            known.report(target, sick=0.02)
        near = {t.worker for t in pool if t.failure_domain == "a"}
        for _ in range(20):
            self.assertIn(known.picker.pick(pool, ()).target.worker, near)
        for target in pool:
            if target.worker in near:
                known.report(target, sick=0.02, busy=_SLOTS)
        self.assertNotIn(known.picker.pick(pool, ()).target.worker, near)


class FloorTest(testtools.TestCase):
    """Sound targets get work, whatever the others do."""

    def _least_share(
        self, domains: str, sick: frozenset[str], load: float, seed: int
    ) -> float:
        """Plays requests for some spans.

        Args:
            domains: Where the ingresses are, one each.
            sick: Targets that report that they are.
            load: Share of all slots in use on average.
            seed: Of the arrivals.

        Returns:
            The least share of sound targets with work in any span.
        """
        pool = _targets(12, "abc")
        service_s = 0.25
        rng = random.Random(seed)
        ingresses = [_Picker(d, seed + n) for n, d in enumerate(domains)]
        rate = load * len(pool) * _SLOTS / service_s
        busy = dict.fromkeys((t.worker for t in pool), 0)
        running: list[tuple] = []
        spans: dict[int, set[str]] = {}
        at = 0.0
        while at < 5 * _FLOOR_S:
            at += rng.expovariate(rate)
            while running and running[0][0] <= at:
                _, _, known, target, token = heapq.heappop(running)
                busy[target.worker] -= 1
                odds_now = 0.9 if target.worker in sick else 0.02
                known.finish(target, token, odds_now, busy[target.worker])
            known = rng.choice(ingresses)
            for other in ingresses:
                other.time.at = 100.0 + at
            tried: set[str] = set()
            while (choice := known.picker.pick(pool, tried)) is not None:
                target = choice.target
                token = known.picker.started(target)
                gated = target.worker in sick and (
                    choice.rotation is worker.Rotation.IN
                )
                if busy[target.worker] < _SLOTS and not gated:
                    busy[target.worker] += 1
                    spans.setdefault(int(at / _FLOOR_S), set()).add(
                        target.worker
                    )
                    end = at + service_s
                    heapq.heappush(
                        running, (end, id(token), known, target, token)
                    )
                    break
                odds_now = 0.9 if target.worker in sick else 0.02
                known.finish(target, token, odds_now, busy[target.worker])
                tried.add(target.worker)
        sound = {t.worker for t in pool} - sick
        whole = list(spans.values())[:-1]
        return min(len(used & sound) / len(sound) for used in whole)

    def test_callers_everywhere(self):
        for seed in range(10):
            sick = frozenset({"i-0", "i-3", "i-4"})
            share = self._least_share("aabbcc", sick, 0.4, seed)
            self.assertGreaterEqual(share, _FLOOR_SHARE, seed)

    def test_callers_in_one_domain_whose_targets_are_half_sick(self):
        for seed in range(10):
            sick = frozenset({"i-0", "i-3"})
            share = self._least_share("aaaa", sick, 0.3, seed)
            self.assertGreaterEqual(share, _FLOOR_SHARE, seed)
