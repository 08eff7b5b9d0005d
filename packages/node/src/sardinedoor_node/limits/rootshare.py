"""Guarantees a part of a worker's slot time to requests that aren't nested.

It answers a load at which the calls of other services alone fill a worker's slots: the
requests that callers make of its own service would never be served.
"""

from __future__ import annotations

# Part of the slot time that waiting requests get even if nested ones wait as well.
MIN_ROOT_SHARE = 0.15
# Time after which slot time has lost half of its weight, in s.
_HALF_LIFE_S = 3.0


class RootShare:
    """Recent slot time of nested and of other requests, with exponential decay."""

    def __init__(self) -> None:
        """Starts without slot time."""
        self._times_s = {False: 0.0, True: 0.0}
        self._updated_at = 0.0

    def add(self, nested: bool, seconds: float, now: float) -> None:
        """Adds slot time.

        Args:
            nested: Whether a nested request used it.
            seconds: The time, in s; negative to correct an estimate.
            now: Monotonic time, in s.
        """
        self._decay(now)
        self._times_s[nested] = max(0.0, self._times_s[nested] + seconds)

    def is_short(self, now: float) -> bool:
        """Returns whether requests that aren't nested had less than their part."""
        self._decay(now)
        total_s = sum(self._times_s.values())
        return self._times_s[False] < MIN_ROOT_SHARE * total_s

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / _HALF_LIFE_S)
        for nested in self._times_s:
            self._times_s[nested] *= factor
        self._updated_at = now
