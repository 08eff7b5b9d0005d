"""Time as an interface."""

from __future__ import annotations

import abc
import asyncio
import datetime
import time


class Clock(abc.ABC):
    """Tells the time and sleeps."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never go back, from an arbitrary start."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the time of day in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits.

        Args:
            seconds: How long, in s.
        """


class SystemClock(Clock):
    """The clock of the machine."""

    def monotonic(self) -> float:
        """See base class."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """See base class."""
        await asyncio.sleep(seconds)
