"""The budget of further attempts."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import retries


class RetryBudgetTest(testtools.TestCase):
    def test_attempts_stay_within_the_share_whatever_fails(self):
        # Share of attempts that fail, per phase of 2,000 requests.
        for phases in ([1.0], [0.0, 1.0], [0.5], [0.9, 0.1, 1.0], [0.0]):
            rng = random.Random(3)
            budget = retries.RetryBudget()
            attempts = requests = 0
            for failing in phases:
                for _ in range(2000):
                    requests += 1
                    for _ in range(3):
                        attempts += 1
                        if rng.random() >= failing:
                            budget.answered()
                            break
                        if not budget.spend():
                            break
            self.assertLessEqual(attempts, 1.2 * requests, phases)

    def test_services_do_not_share(self):
        budgets = retries.RetryBudgets()
        while budgets.of("a").spend():
            pass
        self.assertTrue(budgets.of("b").spend())
