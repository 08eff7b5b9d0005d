"""Retry budget as a token bucket."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import retries


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_within_the_budget_whatever_fails(self):
        # Fraction of attempts that fail, by phase of 2,000 requests.
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
                            budget.deposit()
                            break
                        if not budget.withdraw():
                            break
            self.assertLessEqual(attempts, 1.2 * requests, phases)

    def test_services_have_separate_budgets(self):
        budgets = retries.RetryBudgets()
        while budgets.for_service("a").withdraw():
            pass
        self.assertTrue(budgets.for_service("b").withdraw())
