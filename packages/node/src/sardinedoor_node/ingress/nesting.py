"""Detection of calls that the node's own worker makes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A route whose share of arrivals at an idle worker is below this is used by the
# worker. After its request was abandoned a worker may still make a call, but a
# smaller share of its calls than this arrives then; workers are idle for a
# larger share of the time.
_IDLE_SHARE = 0.04
# A route is certainly used by the worker alone once this many of its arrivals would have
# met an idle worker if callers had made them, and a quarter of that have.
_MIN_EXPECTED_IDLE = 3.0
_MAX_IDLE_PART = 0.25


class NestedCallDetector:
    """Detects the routes that the node's own worker calls.

    Requests of callers and calls that the worker makes while it runs a request
    come from the same address and look alike. The node sees each request that
    its worker runs, and a worker makes calls only while it runs one: a route
    on which requests also arrive while the worker is idle is used by callers.
    Until one has arrived so, the requests of a route count as calls, which add
    nothing to the retry budget.
    """

    def __init__(
        self,
        may_be_running: Callable[[], bool],
        idle_share: Callable[[], float],
    ):
        """Starts without any arrivals.

        Args:
            may_be_running: Returns whether the node's worker may be running a
                request.
            idle_share: Returns the share of the time in which the worker ran
                no request.
        """
        self._may_be_running = may_be_running
        self._idle_share = idle_share
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._idle_arrivals: collections.Counter[str] = collections.Counter()

    def record_arrival(self, route: str) -> bool:
        """Counts a request that arrived.

        Args:
            route: Name of its route.

        Returns:
            Whether the node's worker may have made it.
        """
        self._arrivals[route] += 1
        if not self._may_be_running():
            self._idle_arrivals[route] += 1
        arrivals = self._arrivals[route]
        return self._idle_arrivals[route] < _IDLE_SHARE * arrivals

    def is_certain(self, route: str) -> bool:
        """Returns whether only the node's worker uses a route.

        Args:
            route: Name of the route.
        """
        expected = self._arrivals[route] * self._idle_share()
        return (
            expected >= _MIN_EXPECTED_IDLE
            and self._idle_arrivals[route] < _MAX_IDLE_PART * expected
        )
