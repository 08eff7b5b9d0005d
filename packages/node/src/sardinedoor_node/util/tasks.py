"""Background tasks whose failures are logged."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

logger = logging.getLogger(__name__)


class TaskGroup:
    """Background tasks that are cancelled together.

    The group references each task, since the event loop has only weak
    references to them.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine, name: str = "") -> asyncio.Task:
        """Starts a task.

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
