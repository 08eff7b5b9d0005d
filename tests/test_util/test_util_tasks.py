"""Tasks that live until they are cancelled."""

from __future__ import annotations

import asyncio
import logging

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.util import tasks
from sardinedoor_standins import virtualtime


class SuperviseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        logger = logging.getLogger(tasks.__name__)
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)
        self.counters = metrics.Metrics()
        self.clock = virtualtime.ManualClock()

    def _run(self, run, starts: int) -> None:
        """Supervises a coroutine function until it was started so often."""

        async def play() -> None:
            group = tasks.TaskGroup(self.counters, self.clock)
            task = group.supervise(run, "follower")
            async with asyncio.timeout(5):
                while len(self.started_at) < starts:
                    await asyncio.sleep(0)
            self.assertFalse(task.done())
            await group.cancel()
            self.assertTrue(task.cancelled())

        self.started_at: list[float] = []
        asyncio.run(play())

    def test_task_that_raises_or_returns_is_started_again(self):
        """One exception ended the reading of the store for good."""

        async def run() -> None:
            self.started_at.append(self.clock.monotonic())
            if len(self.started_at) % 2:
                raise ValueError("unexpected")

        self._run(run, 12)
        delays = [
            round(later - earlier, 3)
            for earlier, later in zip(
                self.started_at, self.started_at[1:], strict=False
            )
        ]
        self.assertEqual([0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0], delays[:8])
        self.assertEqual({"follower"}, set(self.counters.task_restarts))

    def test_delay_is_short_again_after_a_long_life(self):
        async def run() -> None:
            self.started_at.append(self.clock.monotonic())
            await self.clock.sleep(100.0 if len(self.started_at) == 4 else 0.0)

        self._run(run, 5)
        self.assertAlmostEqual(100.1, self.started_at[4] - self.started_at[3])

    def test_cancelled_task_is_not_started_again(self):
        async def run() -> None:
            self.started_at.append(self.clock.monotonic())
            await asyncio.Event().wait()

        self._run(run, 1)
        self.assertEqual({}, self.counters.task_restarts)
