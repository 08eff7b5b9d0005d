"""Account of the requests that a node's workers are running."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardinedoor_node.util import clock

# A worker may go on with a run for this long after its connection was closed.
_ABANDONED_RUN_S = 1.0


class Run:
    """A run in progress.

    Attributes:
        answered: Whether it has ended with a response of the worker.
    """

    def __init__(self) -> None:
        self.answered = False


class RunAccount:
    """Counts the runs in flight, and the time without any."""

    def __init__(self, time: clock.Clock):
        """Starts without runs.

        Args:
            time: Source of the monotonic time.
        """
        self._clock = time
        self._started_at = time.monotonic()
        self._idle_since = self._started_at
        self._idle_s = 0.0
        self._abandoned_at = -math.inf
        self._in_flight = 0
        self._repeated_in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests in flight at the node's workers."""
        return self._in_flight

    @property
    def repeated_in_flight(self) -> int:
        """Number of requests in flight that repeat an earlier run.

        Another worker runs such a request as well or has run it before.
        """
        return self._repeated_in_flight

    def may_be_running(self) -> bool:
        """Returns whether a worker may be running a request.

        A run that ended without a response may go on at the worker for a while.
        """
        if self._in_flight:
            return True
        abandoned_s = self._clock.monotonic() - self._abandoned_at
        return abandoned_s < _ABANDONED_RUN_S

    def idle_share(self) -> float:
        """Returns the share of the time in which the workers ran nothing."""
        now = self._clock.monotonic()
        idle_s = self._idle_s
        if not self._in_flight:
            idle_s += now - self._idle_since
        return idle_s / max(now - self._started_at, 1e-3)

    @contextlib.contextmanager
    def run(self, repeats: bool) -> Iterator[Run]:
        """Counts a run for the duration of the block.

        Args:
            repeats: Whether it repeats an earlier run.
        """
        if not self._in_flight:
            self._idle_s += self._clock.monotonic() - self._idle_since
        self._in_flight += 1
        self._repeated_in_flight += repeats
        run = Run()
        try:
            yield run
        finally:
            now = self._clock.monotonic()
            if not run.answered:
                self._abandoned_at = now
            self._in_flight -= 1
            self._idle_since = now
            self._repeated_in_flight -= repeats
