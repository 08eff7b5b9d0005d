"""Deterministic simulation of several event loops on one virtual clock.

Each loop stands for a process, and can be frozen or killed on its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import heapq
import itertools
from typing import TYPE_CHECKING

from sardinedoor_node.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _NullSelector:
    """Selector without events, since the simulated loops use no sockets."""

    def select(self, timeout: float | None) -> list:
        del timeout
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop whose iterations are run by a `Timeline`."""

    def __init__(self, timeline: Timeline):
        """Creates a loop without tasks, neither frozen nor killed.

        Args:
            timeline: Virtual clock and scheduler that this loop belongs to.
        """
        super().__init__()
        self._timeline = timeline
        self._selector = _NullSelector()
        self._clock_resolution = 1e-9
        self.frozen = False
        self.killed = False
        self._iterations_until_freeze = -1
        self._freeze_s = 0.0
        self._deferred: list[Callable[[], None]] = []

    def time(self) -> float:
        """See base class."""
        return self._timeline.now

    def _process_events(self, event_list: list) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def next_run_at(self) -> float | None:
        """Returns when the next callback is due, in s; None if there is none."""
        if self.frozen or self.killed:
            return None
        if self._ready:
            return self._timeline.now
        return self._scheduled[0]._when if self._scheduled else None

    def step(self) -> None:
        """Runs one iteration, and a freeze that is due after it."""
        self.stop()
        self.run_forever()
        if self._iterations_until_freeze >= 0:
            self._iterations_until_freeze -= 1
            if self._iterations_until_freeze < 0:
                self.freeze(self._freeze_s)

    def deliver(self, callback: Callable[[], None]) -> None:
        """Schedules a callback, deferred until the loop resumes if frozen."""
        if self.frozen:
            self._deferred.append(callback)
        elif not self.killed:
            self.call_soon(callback)

    def freeze(self, seconds: float) -> None:
        """Pauses the loop, as SIGSTOP does to a process.

        Timers that expire in this time fire together when it resumes.

        Args:
            seconds: Length of the pause, in s.
        """
        if self.frozen or self.killed:
            return
        self.frozen = True
        self._timeline.call_at(self._timeline.now + seconds, self._resume)

    def freeze_after(self, iterations: int, seconds: float) -> None:
        """Freezes the loop after further iterations.

        Args:
            iterations: Number of iterations that are still run.
            seconds: Length of the pause, in s.
        """
        self._iterations_until_freeze = iterations
        self._freeze_s = seconds

    def _resume(self) -> None:
        if self.killed:
            return
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.call_soon(callback)

    def kill(self) -> None:
        """Stops the loop for good, as SIGKILL does to a process."""
        self.killed = True

    def cancel_and_close(self) -> None:
        """Cancels the remaining tasks and closes the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run_until_complete(_await_all(tasks))
        self.close()


async def _await_all(tasks: set[asyncio.Task]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)


class VirtualClock(clock.Clock):
    """Clock of one simulated process."""

    def __init__(self, timeline: Timeline, skew_s: float = 0.0):
        """Creates a clock.

        Args:
            timeline: Source of the virtual time.
            skew_s: Offset of its time of day from the virtual time, in s.
        """
        self._timeline = timeline
        self._skew_s = skew_s

    def monotonic(self) -> float:
        """See base class."""
        return self._timeline.now

    def now(self) -> datetime.datetime:
        """See base class."""
        seconds = self._timeline.now + self._skew_s
        return EPOCH + datetime.timedelta(seconds=seconds)

    async def sleep(self, seconds: float) -> None:
        """See base class."""
        await asyncio.sleep(seconds)


class Timeline:
    """Virtual clock and scheduler of several loops, in deterministic order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._loops: list[VirtualLoop] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def new_loop(self) -> VirtualLoop:
        """Creates an event loop that runs on this virtual clock."""
        loop = VirtualLoop(self)
        self._loops.append(loop)
        return loop

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback outside of all loops.

        Args:
            when: Virtual time, in s.
            callback: Function to call.
        """
        heapq.heappush(self._events, (when, next(self._count), callback))

    def run_until(self, end: float) -> None:
        """Runs all loops and scheduled callbacks that are due before `end`."""
        while True:
            when = min(self._run_times(), default=end)
            if when >= end:
                self.now = end
                return
            self.now = max(self.now, when)
            self._run_events()
            self._step_loops()

    def _run_times(self) -> Iterator[float]:
        if self._events:
            yield self._events[0][0]
        for loop in self._live_loops():
            run_at = loop.next_run_at()
            if run_at is not None:
                yield run_at

    def _live_loops(self) -> list[VirtualLoop]:
        return [loop for loop in self._loops if not loop.killed]

    def _run_events(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()

    def _step_loops(self) -> None:
        for loop in self._live_loops():
            run_at = loop.next_run_at()
            if run_at is not None and run_at <= self.now:
                loop.step()

    def close(self) -> None:
        """Cancels the tasks of all loops and closes the loops."""
        for loop in self._loops:
            loop.cancel_and_close()

    @contextlib.contextmanager
    def closing(self) -> Iterator[Timeline]:
        """Closes the timeline at the end of a `with` block."""
        try:
            yield self
        finally:
            self.close()


class ManualClock(clock.Clock):
    """Clock that moves only when a test sets it or something sleeps on it."""

    def __init__(self) -> None:
        """Starts at an arbitrary time."""
        self.now_s = 100.0

    def monotonic(self) -> float:
        """See base class."""
        return self.now_s

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Advances the clock at once instead of waiting."""
        self.now_s += seconds
        await asyncio.sleep(0)
