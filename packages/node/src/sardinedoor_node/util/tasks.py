"""Background tasks whose failures are logged, and those that never end."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardinedoor_node.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from sardinedoor_node import metrics

logger = logging.getLogger(__name__)

_RESTART_DELAY_MIN_S = 0.1
_RESTART_DELAY_MAX_S = 5.0
# The delay is short again after a task has run for longer than this.
_STABLE_S = 60.0


class TaskGroup:
    """Background tasks that are cancelled together.

    The group references each task, since the event loop has only weak
    references to them.
    """

    def __init__(
        self,
        counters: metrics.Metrics | None = None,
        time: clock.Clock | None = None,
    ):
        """Creates a group without tasks.

        Args:
            counters: Counts the restarts of supervised tasks.
            time: Clock of the delays before them; None for the system clock.
        """
        self._metrics = counters
        self._clock = time or clock.SystemClock()
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def supervise(
        self, run: Callable[[], Coroutine], name: str
    ) -> asyncio.Task:
        """Starts a task that lives until it is cancelled.

        If it ends, it is started again, with exponential backoff.

        Args:
            run: Makes the coroutine to run, once for each start.
            name: Name of the task, logged if it ends.

        Returns:
            The task.
        """
        return self.spawn(self._run_again(run, name), name)

    async def _run_again(self, run: Callable[[], Coroutine], name: str) -> None:
        delay_s = _RESTART_DELAY_MIN_S
        while True:
            started_at = self._clock.monotonic()
            reason = None
            try:
                await run()
            except Exception as e:
                reason = e
            if self._clock.monotonic() - started_at > _STABLE_S:
                delay_s = _RESTART_DELAY_MIN_S
            if self._metrics is not None:
                self._metrics.task_restarted(name)
            logger.error(
                "task started again",
                extra={"task": name, "delay_s": delay_s},
                exc_info=reason,
            )
            await self._clock.sleep(delay_s)
            delay_s = min(2 * delay_s, _RESTART_DELAY_MAX_S)

    def spawn(self, coroutine: Coroutine, name: str = "") -> asyncio.Task:
        """Starts a task that may end.

        Args:
            coroutine: The coroutine to run.
            name: Name of the task, logged if it fails.

        Returns:
            The task.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.error(
            "task failed",
            extra={"task": task.get_name()},
            exc_info=task.exception(),
        )

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
