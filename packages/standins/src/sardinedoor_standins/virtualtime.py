"""Event loops in virtual time; each can be frozen or ended by itself."""

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


class _NoSelector:
    """Takes the place of the selector, as no loop waits for sockets."""

    def select(self, timeout: float | None) -> list:
        del timeout
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop that a `Timeline` steps."""

    def __init__(self, timeline: Timeline):
        """Starts at the timeline's time.

        Args:
            timeline: Tells the time.
        """
        super().__init__()
        self._timeline = timeline
        self._selector = _NoSelector()
        self._clock_resolution = 1e-9
        self.frozen = False
        self.ended = False
        self.freeze_steps = -1
        self._freeze_s = 0.0
        self._waiting: list[Callable[[], None]] = []

    def time(self) -> float:
        """See base class."""
        return self._timeline.now

    def _process_events(self, event_list: list) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def next_wake(self) -> float | None:
        """Tells when there is something to run; None for never."""
        if self.frozen or self.ended:
            return None
        if self._ready:
            return self._timeline.now
        return self._scheduled[0]._when if self._scheduled else None

    def step(self) -> None:
        """Runs one iteration."""
        self.stop()
        self.run_forever()
        if self.freeze_steps >= 0:
            self.freeze_steps -= 1
            if self.freeze_steps < 0:
                self.freeze(self._freeze_s)

    def deliver(self, callback: Callable[[], None]) -> None:
        """Runs a callback in this loop, after its waking if it is frozen."""
        if self.frozen:
            self._waiting.append(callback)
        elif not self.ended:
            self.call_soon(callback)

    def freeze(self, seconds: float) -> None:
        """Stops the loop for a while; its timers then fire all at once."""
        if self.frozen or self.ended:
            return
        self.frozen = True
        self._timeline.call_at(self._timeline.now + seconds, self._wake)

    def freeze_after(self, steps: int, seconds: float) -> None:
        """Freezes the loop after some more iterations."""
        self.freeze_steps = steps
        self._freeze_s = seconds

    def _wake(self) -> None:
        if self.ended:
            return
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            self.call_soon(callback)

    def end(self) -> None:
        """Ends the loop as a kill does: nothing in it runs any more."""
        self.ended = True

    def clean(self) -> None:
        """Cancels what is left of the tasks, and closes the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run_until_complete(_finished(tasks))
        self.close()


async def _finished(tasks: set[asyncio.Task]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)


class VirtualClock(clock.Clock):
    """Clock of one process in virtual time."""

    def __init__(self, timeline: Timeline, skew_s: float = 0.0):
        """Starts at the timeline's time.

        Args:
            timeline: Tells the time.
            skew_s: How far its time of day is ahead, in s.
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
    """Virtual time shared by several loops; always runs in one order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._loops: list[VirtualLoop] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def new_loop(self) -> VirtualLoop:
        """Adds a loop."""
        loop = VirtualLoop(self)
        self._loops.append(loop)
        return loop

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Calls something outside of all loops.

        Args:
            when: Virtual time, in s.
            callback: What to call.
        """
        heapq.heappush(self._events, (when, next(self._count), callback))

    def run_until(self, end: float) -> None:
        """Runs all loops and events up to a time."""
        while True:
            when = min(self._wakes(), default=end)
            if when >= end:
                self.now = end
                return
            self.now = max(self.now, when)
            self._run_events()
            self._step_loops()

    def _wakes(self) -> Iterator[float]:
        if self._events:
            yield self._events[0][0]
        for loop in self._live():
            wake = loop.next_wake()
            if wake is not None:
                yield wake

    def _live(self) -> list[VirtualLoop]:
        return [loop for loop in self._loops if not loop.ended]

    def _run_events(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()

    def _step_loops(self) -> None:
        for loop in self._live():
            wake = loop.next_wake()
            if wake is not None and wake <= self.now:
                loop.step()

    def close(self) -> None:
        """Ends all loops."""
        for loop in self._loops:
            loop.clean()

    @contextlib.contextmanager
    def closing(self) -> Iterator[Timeline]:
        """Ends all loops on leaving."""
        try:
            yield self
        finally:
            self.close()


class ManualClock(clock.Clock):
    """A clock that is set by hand."""

    def __init__(self) -> None:
        """Starts at an arbitrary moment."""
        self.at = 100.0

    def monotonic(self) -> float:
        """See base class."""
        return self.at

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """See base class; returns at once."""
        self.at += seconds
        await asyncio.sleep(0)
