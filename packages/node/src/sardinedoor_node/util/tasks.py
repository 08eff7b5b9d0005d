"""Keeps references to background tasks and logs their failures."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

logger = logging.getLogger(__name__)


class TaskGroup:
    """Tasks that live as long as their owner."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine, name: str = "") -> asyncio.Task:
        """Starts a task.

        Args:
            coroutine: What it runs.
            name: Name for logs.

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
        """Cancels all tasks and waits for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
