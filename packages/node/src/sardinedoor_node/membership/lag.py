"""Notices that the process was paused or its event loop stood still."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.util import clock

LEASE_S = 1.0


class LagGuard:
    """Calls listeners when this process didn't run for longer than a lease."""

    def __init__(self, time: clock.Clock, lease_s: float = LEASE_S):
        """Starts as if it had just run.

        Args:
            time: Clock.
            lease_s: Longest gap after which beliefs still count, in s.
        """
        self._clock = time
        self._lease_s = lease_s
        self._last = time.monotonic()
        self._listeners: list[Callable[[float], None]] = []

    def on_gap(self, listener: Callable[[float], None]) -> None:
        """Registers a call, with the length of the gap in s."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Notes that the process runs; acts on a gap.

        Returns:
            True if there was a gap longer than the lease.
        """
        now = self._clock.monotonic()
        gap = now - self._last
        self._last = now
        if gap <= self._lease_s:
            return False
        for listener in self._listeners:
            listener(gap)
        return True
