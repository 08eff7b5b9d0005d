"""Retry budget over a sliding window."""

from __future__ import annotations

import testtools

from sardinedoor_node.limits import retrywindow

_RULES = retrywindow.RetryRules(0.2, 10.0, 60.0)
_MAX_WITHDRAWALS = 10_000


def _budget(nodes: int, started: float = -100.0, phase: float = 0.0):
    size = retrywindow.FleetSize(lambda: nodes, _RULES.window_s)
    return retrywindow.WindowedBudget(_RULES, size, started, phase)


def _withdraw_all(budget: retrywindow.WindowedBudget, rerun: bool) -> int:
    return sum(budget.withdraw(1.0, rerun) for _ in range(_MAX_WITHDRAWALS))


class WindowedBudgetTest(testtools.TestCase):
    def _count_withdrawals(
        self, requests: int, nodes: int, phases: bool = False
    ) -> int:
        spent = 0
        for node in range(nodes):
            phase = (node + 0.5) / nodes if phases else 0.0
            budget = _budget(nodes, phase=phase)
            for _ in range(requests):
                budget.record_request(0.0)
            spent += _withdraw_all(budget, rerun=False)
        return spent

    def test_fleet_stays_within_the_rules(self):
        for nodes in (1, 6, 30):
            for phases in (False, True):
                spent = self._count_withdrawals(100, nodes, phases)
                self.assertLessEqual(spent, 0.2 * 100 * nodes + 60)
                self.assertGreater(spent, 0)

    def test_fractional_shares_add_up_over_the_fleet(self):
        spent = self._count_withdrawals(0, 100, phases=True)
        self.assertGreater(spent, 40)
        self.assertLessEqual(spent, 60)

    def test_the_window_slides(self):
        budget = _budget(1)
        while budget.withdraw(0.0, rerun=False):
            pass
        self.assertFalse(budget.allows(9.9, rerun=False))
        self.assertTrue(budget.allows(10.1, rerun=False))

    def test_reruns_leave_budget_for_the_calls_they_repeat(self):
        runs = _withdraw_all(_budget(1), rerun=True)
        self.assertLessEqual(2 * runs, 60)
        self.assertGreater(_withdraw_all(_budget(1), rerun=False), runs)

    def test_nested_calls_of_reruns_are_charged(self):
        budget = _budget(1)
        budget.record_call(0.5, repeated_runs=0)
        free = _withdraw_all(budget, rerun=False)
        charged = _budget(1)
        for _ in range(10):
            charged.record_call(0.5, repeated_runs=1)
        self.assertEqual(free - 10, _withdraw_all(charged, rerun=False))

    def test_memory_is_bounded_without_retries(self):
        budget = _budget(1)
        for number in range(1_000):
            budget.record_request(number * 1.0)
            budget.record_call(number * 1.0, repeated_runs=1)
        self.assertLessEqual(budget.recorded, 2 * (_RULES.window_s + 1))

    def test_nested_calls_add_no_allowance(self):
        called = _budget(1)
        for _ in range(100):
            called.record_call(0.5, repeated_runs=0)
        self.assertLessEqual(_withdraw_all(called, rerun=False), 60)

    def test_restart_gives_no_second_burst(self):
        before = _withdraw_all(_budget(1), rerun=False)
        after = _withdraw_all(_budget(1, started=0.0), rerun=False)
        self.assertLessEqual(before + after, 60)
        self.assertGreater(after, 0)


class FleetSizeTest(testtools.TestCase):
    def test_nodes_that_left_count_for_a_window(self):
        nodes = [30]
        size = retrywindow.FleetSize(lambda: nodes[0], 10.0)
        self.assertEqual(30, size.count(100.0))
        nodes[0] = 10
        self.assertEqual(30, size.count(109.0))
        self.assertEqual(30, size.count(110.0))
        self.assertEqual(10, size.count(121.0))

    def test_unknown_fleet_counts_as_one_node(self):
        self.assertEqual(1, retrywindow.FleetSize(lambda: 0, 10.0).count(0.0))
