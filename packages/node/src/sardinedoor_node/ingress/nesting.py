"""Tells requests of callers from calls that the node's worker makes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A worker that was given up may call a little later, which makes up a smaller
# share of its calls than this; workers are idle for a larger share of time.
_IDLE_SHARE = 0.04
# Fewer arrivals say nothing.
_MIN_ARRIVALS = 12


class NestedCalls:
    """Sorts routes by whether requests come while the worker is idle.

    Both come from the same address and look alike. A worker calls only while
    it runs a request, and the node sees each request that its worker runs.
    """

    def __init__(self, runs: Callable[[], int]):
        """Starts with no route known.

        Args:
            runs: Tells how many requests are at the node's worker.
        """
        self._runs = runs
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._idle: collections.Counter[str] = collections.Counter()

    def is_nested(self, route: str) -> bool:
        """Notes an arrival; True if the node's worker may have made it."""
        self._arrivals[route] += 1
        if not self._runs():
            self._idle[route] += 1
        arrivals = self._arrivals[route]
        if arrivals < _MIN_ARRIVALS:
            return False
        return self._idle[route] < _IDLE_SHARE * arrivals
