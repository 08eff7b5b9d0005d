"""Workers that have recently refused a request because they are leaving."""

from __future__ import annotations

AVOID_S = 2.0


class LeavingWorkers:
    """Workers to skip for a short time after they refused as leaving.

    This only saves attempts: the owner of a leaving worker refuses requests
    whether or not the worker is listed here.
    """

    def __init__(self) -> None:
        self._avoided_until: dict[str, float] = {}

    def add(self, worker: str, now: float) -> None:
        """Lists a worker for `AVOID_S`.

        Args:
            worker: Its name.
            now: Monotonic time, in s.
        """
        self._avoided_until[worker] = now + AVOID_S

    def current(self, now: float) -> set[str]:
        """Returns the names of the workers to skip, in a new set.

        Args:
            now: Monotonic time, in s.
        """
        if not self._avoided_until:
            return set()
        for worker in [
            name for name, until in self._avoided_until.items() if until <= now
        ]:
            del self._avoided_until[worker]
        return set(self._avoided_until)
