"""Interface to the clock, so that tests can simulate time."""

from __future__ import annotations

import abc
import asyncio
import datetime
import time


class Clock(abc.ABC):
    """Source of the current time and of delays."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns monotonic time since an arbitrary point, in s."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the current date and time in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Suspends the calling task.

        Args:
            seconds: Duration, in s.
        """


class SystemClock(Clock):
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """See base class."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """See base class."""
        await asyncio.sleep(seconds)
