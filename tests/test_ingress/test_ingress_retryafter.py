"""Delays after which callers of refused requests may return."""

from __future__ import annotations

import asyncio
import math
import random

import testtools

from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import retryafter
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import loopback

_SETTINGS = """
[team]
name = t
[service permits]
workers = permits-0
[route permits]
path = /p
service = permits
visibility = public
timeout_ms = 5000
"""


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


class RefusalHeaderTest(testtools.TestCase):
    def test_refusal_names_whole_seconds_until_a_target_is_free(self):
        # Expected wait as the owner reported it, header.
        rows = [(None, "1"), (0, "1"), (400, "1"), (1001, "2"), (3000, "3")]

        async def case(ingress: loopback.LoopbackIngress) -> None:
            for wait_ms, expected in rows:
                refusal = forward.ForwardResult(codes.Code.TARGET_LIMITED)
                if wait_ms is not None:
                    refusal.load = wire.Load(wait_ms=wait_ms)
                ingress.forwarder.refusal = refusal
                response = await ingress.send(loopback.get())
                self.assertEqual(503, response.status)
                self.assertEqual(expected, response.get("retry-after"))

        asyncio.run(loopback.run_case(_SETTINGS, case))
