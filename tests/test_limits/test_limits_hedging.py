"""Extra work against the slowest answers, within the operator's limit."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import hedging


class HedgePolicyTest(testtools.TestCase):
    def _policy(self, extra_share: float) -> hedging.HedgePolicy:
        policy = hedging.HedgePolicy(extra_share)
        for number in range(200):
            policy.answered("view", 0.1 if number % 10 else 2.0)
        return policy

    def test_nothing_is_sent_twice_by_default(self):
        policy = self._policy(0.0)
        for _ in range(1000):
            policy.request_started("desk")
        self.assertIsNone(policy.delay_s("view", 1.0))
        self.assertFalse(policy.take("desk", 1.0))

    def test_extra_work_stays_within_the_limit(self):
        policy = self._policy(0.05)
        taken = 0
        for _ in range(2000):
            policy.request_started("desk")
            taken += policy.take("desk", 1.0)
        self.assertLessEqual(taken, 0.05 * 2000)
        self.assertGreaterEqual(taken, 0.04 * 2000)

    def test_saved_allowance_is_bounded(self):
        policy = self._policy(0.5)
        for _ in range(10_000):
            policy.request_started("desk")
        self.assertEqual(5, sum(policy.take("desk", 1.0) for _ in range(100)))

    def test_no_extra_work_while_slots_are_short(self):
        policy = self._policy(0.5)
        for _ in range(10):
            policy.request_started("desk")
        policy.lacked_slot("desk", 5.0)
        self.assertFalse(policy.take("desk", 5.5))
        self.assertTrue(policy.take("desk", 6.5))

    def test_delay_is_learned_for_each_route(self):
        policy = hedging.HedgePolicy(0.1)
        rng = random.Random(2)
        self.assertEqual(0.4, policy.delay_s("view", 1.0))
        for _ in range(300):
            policy.answered("view", rng.uniform(0.0, 1.0))
            policy.answered("lodge", rng.uniform(0.0, 10.0))
        self.assertAlmostEqual(0.95, policy.delay_s("view", 1.0), delta=0.05)
        self.assertAlmostEqual(9.5, policy.delay_s("lodge", 1.0), delta=0.5)

    def test_slowest_answers_are_cut(self):
        """One answer in twenty takes ten times as long."""
        rng = random.Random(3)

        def latency_s() -> float:
            slow = rng.random() < 0.05
            return rng.uniform(0.1, 0.2) * (10 if slow else 1)

        plain, hedged, extra = [], [], 0
        policy = hedging.HedgePolicy(0.1)
        for _ in range(4000):
            first_s, second_s = latency_s(), latency_s()
            plain.append(first_s)
            policy.request_started("desk")
            delay_s = policy.delay_s("view", 1.0)
            if delay_s and first_s > delay_s and policy.take("desk", 0.0):
                extra += 1
                first_s = min(first_s, delay_s + second_s)
            policy.answered("view", first_s)
            hedged.append(first_s)
        slowest = int(0.99 * len(plain))
        self.assertLess(sorted(hedged)[slowest], 0.5 * sorted(plain)[slowest])
        self.assertLessEqual(extra, 0.1 * len(plain))
