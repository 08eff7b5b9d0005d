"""Detects that the process or its event loop was paused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.util import listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.util import clock

MAX_PAUSE_S = 1.0


class PauseDetector:
    """Calls listeners when two checks are further apart than a limit."""

    def __init__(self, time: clock.Clock, max_pause_s: float = MAX_PAUSE_S):
        """Counts the creation as the first check.

        Args:
            time: Clock.
            max_pause_s: Longest pause after which the member states are
                still trusted, in s.
        """
        self._clock = time
        self._max_pause_s = max_pause_s
        self._checked_at = time.monotonic()
        self._listeners = listeners.ListenerGroup("pause detected")

    def on_pause(self, listener: Callable[[float], None]) -> None:
        """Registers a listener.

        Args:
            listener: Called with the length of each pause, in s.
        """
        self._listeners.add(listener)

    def check(self) -> bool:
        """Measures the time since the last check.

        Returns:
            True if it was longer than the limit; the listeners were called.
        """
        now = self._clock.monotonic()
        pause_s = now - self._checked_at
        self._checked_at = now
        if pause_s <= self._max_pause_s:
            return False
        self._listeners.notify(pause_s)
        return True
