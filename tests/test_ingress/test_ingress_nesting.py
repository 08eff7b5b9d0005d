"""Detection of calls that the node's own worker makes."""

from __future__ import annotations

import testtools

from sardinedoor_node.ingress import nesting


class NestedCallDetectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.running = 0
        self.idle_share = 0.3
        self.detector = nesting.NestedCallDetector(
            lambda: self.running > 0, lambda: self.idle_share
        )

    def _arrive(self, route: str, times: int) -> bool:
        return [self.detector.record_arrival(route) for _ in range(times)][-1]

    def test_route_with_arrivals_at_an_idle_worker_is_not_nested(self):
        self.running = 2
        self._arrive("pay", 8)
        self.running = 0
        self._arrive("pay", 1)
        self.running = 2
        self.assertFalse(self._arrive("pay", 8))

    def test_route_with_arrivals_only_at_a_busy_worker_is_nested(self):
        self.running = 1
        self.assertTrue(self._arrive("registry", 20))

    def test_first_calls_of_a_worker_are_nested(self):
        self.running = 1
        self.assertTrue(self._arrive("registry", 1))

    def test_one_late_call_of_a_worker_does_not_hide_a_nested_route(self):
        self._arrive("registry", 1)
        self.running = 1
        self.assertTrue(self._arrive("registry", 30))

    def test_nested_route_is_certain_once_callers_would_have_met_idleness(self):
        self.running = 1
        self._arrive("registry", 9)
        self.assertFalse(self.detector.is_certain("registry"))
        self._arrive("registry", 1)
        self.assertTrue(self.detector.is_certain("registry"))

    def test_no_route_is_certain_at_a_worker_that_is_always_busy(self):
        self.running = 1
        self.idle_share = 0.0
        self._arrive("pay", 500)
        self.assertFalse(self.detector.is_certain("pay"))
