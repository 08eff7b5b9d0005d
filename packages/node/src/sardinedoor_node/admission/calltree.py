"""What the runs of a node's worker call at other services, and how the calls fare.

It answers a load at which a small service is called by the runs of a larger one and
is full: a run whose call isn't served ends as a failure after its caller has waited, and
one that isn't idempotent can't be repeated. The node beside the worker sees which
requests run there and which calls arrive from it, so it learns both from what passes.
"""

from __future__ import annotations

import collections
import dataclasses
import math

# Weight of the newest run in the mean number of calls.
_CALLS_WEIGHT = 0.05
# A service that is called less often is probably called by other runs.
_MIN_CALLS = 0.1
# Time constant with which older reports of a service's wait lose weight, in s.
_WAIT_MEMORY_S = 1.0
# A wait that wasn't reported again for this long says nothing any more, in s.
_WAIT_TTL_S = 3.0
# A run ends at most this long after the call that made it fail, in s.
_FAILURE_DELAY_S = 0.3
# Requests are refused once their calls wait for the first of these parts of the longest
# time that they may wait, more and more up to the second, so that the nodes in front of a
# service don't all stop and start at the same moment.
_TOLERATED_WAIT_SHARE = 0.4
_FULL_WAIT_SHARE = 0.8
# Some requests are always let in, since only calls tell how long calls wait.
_MAX_REFUSED_SHARE = 0.95


@dataclasses.dataclass(slots=True)
class _Run:
    """A request that the worker is running.

    Attributes:
        route: Name of its route.
        calls: Calls attributed to it, by service.
    """

    route: str
    calls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class _Wait:
    """Mean wait of calls for a slot of a service.

    Attributes:
        mean_s: The mean, in s.
        reported_at: When it was last reported, monotonic, in s.
        limit_s: Longest time that a call may wait, in s.
    """

    mean_s: float
    reported_at: float
    limit_s: float


class CallTree:
    """Learns the calls of each route and the waits at the services called."""

    def __init__(self) -> None:
        """Starts without runs."""
        self._running: dict[bytes, _Run] = {}
        self._calls_per_run: dict[str, dict[str, float]] = {}
        self._waits: dict[str, _Wait] = {}
        self._failed_calls: collections.deque[float] = collections.deque()

    def run_started(self, run_id: bytes, route: str) -> None:
        """Records that the worker runs a request.

        Args:
            run_id: Identifies the run.
            route: Name of the request's route.
        """
        self._running[run_id] = _Run(route)

    def run_ended(self, run_id: bytes) -> None:
        """Records that a run has ended."""
        run = self._running.pop(run_id, None)
        if run is None:
            return
        means = self._calls_per_run.setdefault(run.route, {})
        for service in means.keys() | run.calls.keys():
            mean = means.get(service, 0.0)
            means[service] = mean + _CALLS_WEIGHT * (run.calls[service] - mean)

    def call_started(self, service: str) -> None:
        """Attributes a call to the runs in equal parts.

        Args:
            service: Service that is called.
        """
        for run in self._running.values():
            run.calls[service] += 1 / len(self._running)

    def call_failed(self, now: float) -> None:
        """Records that a call ended without a good answer.

        Args:
            now: Monotonic time, in s.
        """
        self._failed_calls.append(now)

    def take_failed_call(self, now: float) -> bool:
        """Returns whether a failed call explains that a run failed just now.

        Each failed call explains one failed run.

        Args:
            now: Monotonic time, in s.
        """
        failed = self._failed_calls
        while failed and failed[0] < now - _FAILURE_DELAY_S:
            failed.popleft()
        if not failed:
            return False
        failed.popleft()
        return True

    def report_wait(
        self, service: str, wait_s: float, limit_s: float, now: float
    ) -> None:
        """Records how long a call would wait for a slot of a service.

        Args:
            service: The service.
            wait_s: The wait as an owner estimates it, in s.
            limit_s: Longest time that a call may wait, in s.
            now: Monotonic time, in s.
        """
        wait = self._waits.get(service)
        if wait is None or now - wait.reported_at > _WAIT_TTL_S:
            self._waits[service] = _Wait(wait_s, now, limit_s)
            return
        # A report just after another one adds little.
        weight = 1 - math.exp(-(now - wait.reported_at) / _WAIT_MEMORY_S)
        wait.mean_s += max(weight, _CALLS_WEIGHT) * (wait_s - wait.mean_s)
        wait.reported_at = now
        wait.limit_s = limit_s

    def refusal_share(self, route: str, now: float) -> float:
        """Returns the share of a route's requests to refuse, 0 to 1.

        Args:
            route: Name of the route.
            now: Monotonic time, in s.
        """
        shares = [
            _refused_share(wait) for wait in self._waits_below(route, now)
        ]
        return min(max(shares, default=0.0), _MAX_REFUSED_SHARE)

    def wait_s(self, route: str, now: float) -> float:
        """Returns the longest wait of a route's calls for a slot, in s.

        Args:
            route: Name of the route.
            now: Monotonic time, in s.
        """
        waits = self._waits_below(route, now)
        return max((wait.mean_s for wait in waits), default=0.0)

    def _waits_below(self, route: str, now: float) -> list[_Wait]:
        """Lists the known waits at the services that a route calls."""
        calls = self._calls_per_run.get(route, {})
        return [
            wait
            for service, wait in self._waits.items()
            if calls.get(service, 0.0) > _MIN_CALLS
            and now - wait.reported_at <= _WAIT_TTL_S
        ]


def _refused_share(wait: _Wait) -> float:
    """Returns the share of requests to refuse for a wait, 0 to 1."""
    part = wait.mean_s / max(wait.limit_s, 1e-3)
    excess = part - _TOLERATED_WAIT_SHARE
    return min(
        1.0, max(0.0, excess / (_FULL_WAIT_SHARE - _TOLERATED_WAIT_SHARE))
    )
