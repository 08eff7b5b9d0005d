"""Share of recent requests that a target refused without running them."""

from __future__ import annotations

import math

_MEMORY_S = 3.0
# Prior evidence of a target that accepts requests, in requests, so that one
# refusal after a quiet time is no proof.
_PRIOR_ACCEPTED = 2.0


class RefusalShare:
    """Exponentially weighted share of refused requests.

    A target that refuses requests though it has free slots is faulty, but a
    refused request can still run elsewhere. So refusals are kept apart from
    failures.
    """

    def __init__(self, now: float):
        """Starts without requests.

        Args:
            now: Monotonic time in s.
        """
        self._refused = 0.0
        self._accepted = 0.0
        self._updated_at = now

    def record(self, refused: bool, now: float) -> None:
        """Counts a request that the target refused or ran."""
        decay = self._decay(now)
        self._refused = self._refused * decay + refused
        self._accepted = self._accepted * decay + (not refused)
        self._updated_at = now

    def share(self, now: float) -> float:
        """Returns the share of refused requests, 0 to 1."""
        decay = self._decay(now)
        refused = self._refused * decay
        total = refused + self._accepted * decay + _PRIOR_ACCEPTED
        return refused / total

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_at) / _MEMORY_S)
