"""Workers that have just said they are leaving."""

from __future__ import annotations

AVOID_S = 2.0


class AvoidList:
    """Remembers for a short time who refused as leaving.

    The owner refuses in any case; this only saves the attempt.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, worker: str, now: float) -> None:
        """Avoids a worker for a while.

        Args:
            worker: Its name.
            now: Monotonic time, in s.
        """
        self._until[worker] = now + AVOID_S

    def current(self, now: float) -> set[str]:
        """Returns the names of the workers to avoid now."""
        if not self._until:
            return set()
        for worker in [w for w, until in self._until.items() if until <= now]:
            del self._until[worker]
        return set(self._until)
