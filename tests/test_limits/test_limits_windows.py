"""The retry budget in a sliding window."""

from __future__ import annotations

import testtools

from sardinedoor_node.limits import windows

_RULES = windows.RetryRules(0.2, 10.0, 60.0)


class WindowedBudgetTest(testtools.TestCase):
    def _spent(self, requests: int, nodes: int) -> int:
        budget = windows.WindowedBudget(_RULES, lambda: nodes)
        for _ in range(requests):
            budget.requested(0.0)
        return sum(budget.spend(1.0) for _ in range(10_000))

    def test_all_nodes_together_stay_below_the_rules(self):
        for nodes in (1, 6, 30):
            spent = nodes * self._spent(100, nodes)
            self.assertLessEqual(spent, 0.2 * 100 * nodes + 60)
            self.assertGreater(spent, 0)

    def test_the_window_slides(self):
        budget = windows.WindowedBudget(_RULES, lambda: 1)
        while budget.spend(0.0):
            pass
        self.assertFalse(budget.allows(9.9))
        self.assertTrue(budget.allows(10.1))
