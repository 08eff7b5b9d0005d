"""The retry budget in a sliding window."""

from __future__ import annotations

import testtools

from sardinedoor_node.limits import windows

_RULES = windows.RetryRules(0.2, 10.0, 60.0)
_MANY = 10_000


def _budget(nodes: int, started: float = -100.0, phase: float = 0.0):
    size = windows.FleetSize(lambda: nodes, _RULES.window_s)
    return windows.WindowedBudget(_RULES, size, started, phase)


def _spend_all(budget: windows.WindowedBudget, runs: bool) -> int:
    return sum(budget.spend(1.0, runs) for _ in range(_MANY))


class WindowedBudgetTest(testtools.TestCase):
    def _spent(self, requests: int, nodes: int, phases: bool = False) -> int:
        spent = 0
        for node in range(nodes):
            phase = (node + 0.5) / nodes if phases else 0.0
            budget = _budget(nodes, phase=phase)
            for _ in range(requests):
                budget.requested(0.0)
            spent += _spend_all(budget, runs=False)
        return spent

    def test_all_nodes_together_stay_below_the_rules(self):
        for nodes in (1, 6, 30):
            for phases in (False, True):
                spent = self._spent(100, nodes, phases)
                self.assertLessEqual(spent, 0.2 * 100 * nodes + 60)
                self.assertGreater(spent, 0)

    def test_small_shares_add_up_over_the_fleet(self):
        spent = self._spent(0, 100, phases=True)
        self.assertGreater(spent, 40)
        self.assertLessEqual(spent, 60)

    def test_the_window_slides(self):
        budget = _budget(1)
        while budget.spend(0.0, runs=False):
            pass
        self.assertFalse(budget.allows(9.9, runs=False))
        self.assertTrue(budget.allows(10.1, runs=False))

    def test_further_runs_leave_room_for_the_calls_they_repeat(self):
        runs = _spend_all(_budget(1), runs=True)
        self.assertLessEqual(2 * runs, 60)
        self.assertGreater(_spend_all(_budget(1), runs=False), runs)

    def test_calls_of_repeated_requests_are_charged(self):
        budget = _budget(1)
        budget.called(0.5, repeated_runs=0)
        free = _spend_all(budget, runs=False)
        charged = _budget(1)
        for _ in range(10):
            charged.called(0.5, repeated_runs=1)
        self.assertEqual(free - 10, _spend_all(charged, runs=False))

    def test_a_service_that_never_fails_takes_bounded_memory(self):
        budget = _budget(1)
        for number in range(1_000):
            budget.requested(number * 1.0)
            budget.called(number * 1.0, repeated_runs=1)
        self.assertLessEqual(budget.counted, 2 * (_RULES.window_s + 1))

    def test_calls_earn_nothing(self):
        called = _budget(1)
        for _ in range(100):
            called.called(0.5, repeated_runs=0)
        self.assertLessEqual(_spend_all(called, runs=False), 60)

    def test_a_restart_gives_no_second_burst(self):
        before = _spend_all(_budget(1), runs=False)
        after = _spend_all(_budget(1, started=0.0), runs=False)
        self.assertLessEqual(before + after, 60)
        self.assertGreater(after, 0)


class FleetSizeTest(testtools.TestCase):
    def test_nodes_that_went_count_for_a_window(self):
        nodes = [30]
        size = windows.FleetSize(lambda: nodes[0], 10.0)
        self.assertEqual(30, size.count(100.0))
        nodes[0] = 10
        self.assertEqual(30, size.count(109.0))
        self.assertEqual(30, size.count(110.0))
        self.assertEqual(10, size.count(121.0))

    def test_none_known_counts_as_one(self):
        self.assertEqual(1, windows.FleetSize(lambda: 0, 10.0).count(0.0))
