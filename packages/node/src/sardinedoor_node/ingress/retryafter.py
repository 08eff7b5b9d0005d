"""Delays after which callers of refused requests may try again.

It answers a load at which all targets that an ingress asked are busy or have used up
their rate limits. A caller that returns earlier would be refused again, and callers
that return at the same time would compete for the same slots.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_MIN_DELAY_S = 0.1
_SPREAD_S = 0.3
# Beyond this time the owners' estimates say little.
_MAX_DELAY_S = 10.0


class RetryDelays:
    """Chooses the delays of one node's refusals."""

    def __init__(self, rng: random.Random):
        """Stores the source of randomness, which spreads the callers."""
        self._rng = rng

    def delay_s(self, free_at: float, now: float) -> float:
        """Returns the delay of a caller, in s.

        Args:
            free_at: When a target would probably take the request, monotonic,
                in s; infinite if that isn't known.
            now: Monotonic time, in s.
        """
        wait_s = free_at - now if math.isfinite(free_at) else 0.0
        earliest_s = min(_MAX_DELAY_S, max(_MIN_DELAY_S, wait_s))
        return earliest_s + self._rng.uniform(0.0, _SPREAD_S)
