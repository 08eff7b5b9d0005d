"""Calls of the node's own worker are told from requests of callers."""

from __future__ import annotations

import testtools

from sardinedoor_node.ingress import nesting


class NestedCallsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.runs = 0
        self.calls = nesting.NestedCalls(lambda: self.runs)

    def _arrive(self, route: str, times: int) -> bool:
        return [self.calls.is_nested(route) for _ in range(times)][-1]

    def test_a_route_used_while_the_worker_is_idle_is_the_callers(self):
        self.runs = 2
        self._arrive("pay", 8)
        self.runs = 0
        self._arrive("pay", 1)
        self.runs = 2
        self.assertFalse(self._arrive("pay", 8))

    def test_a_route_used_only_beside_runs_is_nested(self):
        self.runs = 1
        self.assertTrue(self._arrive("registry", 20))

    def test_a_late_call_of_a_worker_is_outweighed(self):
        self._arrive("registry", 1)
        self.runs = 1
        self.assertTrue(self._arrive("registry", 30))
