"""Delays after which callers of refused requests may return."""

from __future__ import annotations

import math
import random

import testtools

from sardinedoor_node.ingress import retryafter


class RetryDelaysTest(testtools.TestCase):
    def test_callers_return_once_a_target_is_free_and_not_all_at_once(self):
        delays = retryafter.RetryDelays(random.Random(3))
        # When a target is free; shortest and longest delay.
        rows = [
            (math.inf, 0.1, 0.4),
            (99.0, 0.1, 0.4),
            (100.02, 0.1, 0.4),
            (101.5, 1.5, 1.8),
            (900.0, 10.0, 10.3),
        ]
        for free_at, shortest, longest in rows:
            found = [delays.delay_s(free_at, 100.0) for _ in range(200)]
            self.assertGreaterEqual(min(found), shortest - 1e-9, free_at)
            self.assertLessEqual(max(found), longest + 1e-9, free_at)
            self.assertGreater(max(found) - min(found), 0.25, free_at)
