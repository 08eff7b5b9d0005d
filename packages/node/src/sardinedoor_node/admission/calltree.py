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
# Time constant with which older reports of a service's wait lose weight, in s.
_WAIT_MEMORY_S = 1.0
# A wait that wasn't reported again for this long says nothing any more, in s.
_WAIT_TTL_S = 3.0
# A run ends at most this long after the call that made it fail, in s.
_FAILURE_DELAY_S = 0.3
# Part of the time that a request can spare which its calls may wait for slots.
_WAIT_SHARE = 0.5


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
    """

    mean_s: float
    reported_at: float


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

    def report_wait(self, service: str, wait_s: float, now: float) -> None:
        """Records how long a call would wait for a slot of a service.

        Args:
            service: The service.
            wait_s: The wait as an owner estimates it, in s.
            now: Monotonic time, in s.
        """
        wait = self._waits.get(service)
        if wait is None or now - wait.reported_at > _WAIT_TTL_S:
            self._waits[service] = _Wait(wait_s, now)
            return
        # A report just after another one adds little.
        weight = 1 - math.exp(-(now - wait.reported_at) / _WAIT_MEMORY_S)
        wait.mean_s += max(weight, _CALLS_WEIGHT) * (wait_s - wait.mean_s)
        wait.reported_at = now

    def wait_s(self, route: str, now: float) -> float:
        """Returns how long the calls of a request would wait, in s.

        Args:
            route: Name of the request's route.
            now: Monotonic time, in s.
        """
        total_s = 0.0
        for service, calls in self._calls_per_run.get(route, {}).items():
            wait = self._waits.get(service)
            if wait is not None and now - wait.reported_at <= _WAIT_TTL_S:
                total_s += calls * wait.mean_s
        return total_s

    def admits(self, route: str, spare_s: float, now: float) -> bool:
        """Returns whether the calls of a request can probably be served.

        Args:
            route: Name of the request's route.
            spare_s: Time that the request can spare beside its run, in s.
            now: Monotonic time, in s.
        """
        return self.wait_s(route, now) <= _WAIT_SHARE * spare_s
