"""Extra work that an operator allows against the slowest answers (hedging).

It answers a load at which a few workers are slow or lose answers: a request that may be
repeated and whose answer takes longer than nearly all others on its route is also sent to
a second worker. While a service lacks slots, extra work would only slow it down.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses

# Requests whose answer takes longer than this quantile of those on their route are sent
# once more.
_SLOW_QUANTILE = 0.95
_SAMPLES = 200
_MIN_SAMPLES = 20
# Part of the latency objective that counts as slow until there are so many samples: a
# node of a large fleet sees few requests of each route.
_INITIAL_OBJECTIVE_SHARE = 0.4
# Extra requests that may follow one another without new requests between them.
_MAX_SAVED = 5.0
# A service counts as short of slots for this long after an owner had none, in s.
_SHORTAGE_S = 1.0


class _Latencies:
    """The latest latencies on one route, in order of arrival and of length."""

    def __init__(self) -> None:
        self._arrived: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, latency_s: float) -> None:
        if len(self._arrived) == _SAMPLES:
            oldest = self._arrived.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._arrived.append(latency_s)
        bisect.insort(self._ordered, latency_s)

    def slow_s(self) -> float | None:
        if len(self._ordered) < _MIN_SAMPLES:
            return None
        return self._ordered[int(_SLOW_QUANTILE * len(self._ordered))]


@dataclasses.dataclass(slots=True)
class _Service:
    """State of one service.

    Attributes:
        saved: Extra requests that its requests allow.
        short_until: Until when it counts as short of slots, monotonic, in s.
    """

    saved: float = 0.0
    short_until: float = float("-inf")


class HedgePolicy:
    """Decides when a request is sent to a second worker, within a limit.

    The extra requests at a service are at most a share of the requests to it that this
    node forwards. They draw on the retry budget as well.
    """

    def __init__(self, extra_share: float = 0.0):
        """Starts without samples.

        Args:
            extra_share: Largest number of extra requests for each request that may
                be repeated; 0 for none.
        """
        self._extra_share = extra_share
        self._latencies: dict[str, _Latencies] = {}
        self._services: collections.defaultdict[str, _Service] = (
            collections.defaultdict(_Service)
        )

    def request_started(self, service: str) -> None:
        """Records a request that may be repeated, which allows extra work."""
        state = self._services[service]
        state.saved = min(_MAX_SAVED, state.saved + self._extra_share)

    def answered(self, route: str, latency_s: float) -> None:
        """Records a good answer.

        Args:
            route: Name of the route.
            latency_s: Time from the request to the answer, in s.
        """
        if self._extra_share > 0:
            self._latencies.setdefault(route, _Latencies()).add(latency_s)

    def lacked_slot(self, service: str, now: float) -> None:
        """Records that an owner had no free slot for a request."""
        self._services[service].short_until = now + _SHORTAGE_S

    def delay_s(self, route: str, objective_s: float) -> float | None:
        """Returns after which time an answer counts as slow, in s.

        Args:
            route: Name of the route.
            objective_s: Latency objective of its requests, in s.

        Returns:
            The time; None if extra work isn't allowed.
        """
        if self._extra_share <= 0:
            return None
        latencies = self._latencies.get(route)
        slow_s = latencies.slow_s() if latencies else None
        return slow_s or _INITIAL_OBJECTIVE_SHARE * objective_s

    def take(self, service: str, now: float) -> bool:
        """Takes one extra request from the limit; returns False at the limit.

        Args:
            service: The service.
            now: Monotonic time, in s.
        """
        state = self._services[service]
        if now < state.short_until or state.saved < 1.0:
            return False
        state.saved -= 1.0
        return True
