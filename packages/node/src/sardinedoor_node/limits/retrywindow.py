"""Retry budgets over a sliding window, shared by all nodes of the fleet."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the allowance that is used; the rest covers nodes with different
# views of the size of the fleet.
_SAFETY_FACTOR = 0.85
# Fraction of the allowance for reruns. A rerun also repeats the calls that the
# worker makes, and those are charged at the service that is called.
_RERUN_SAFETY_FACTOR = 0.42
# Fraction of the burst for the first window of a process: a previous process of
# the same node may have used the rest.
_FIRST_WINDOW_BURST_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class RetryRules:
    """Limits on the retries that all nodes together make at one service.

    Attributes:
        ratio: Allowed retries per request in a window.
        window_s: Length of the window, in s.
        burst: Retries allowed in a window in addition to the ratio.
    """

    ratio: float
    window_s: float
    burst: float


class FleetSize:
    """Tracks the largest size of the fleet within the last window.

    Retries of nodes that have since left still count in that window.
    """

    def __init__(self, count_nodes: Callable[[], int], window_s: float):
        """Starts without a count.

        Args:
            count_nodes: Returns the current number of nodes.
            window_s: Length of the window, in s.
        """
        self._count_nodes = count_nodes
        self._window_s = window_s
        self._window_start = 0.0
        self._current_max = 0
        self._previous_max = 0

    def count(self, now: float) -> int:
        """Returns the largest recent number of nodes, at least 1."""
        if now - self._window_start >= self._window_s:
            self._previous_max, self._current_max = self._current_max, 0
            self._window_start = now
        self._current_max = max(self._current_max, self._count_nodes())
        return max(1, self._current_max, self._previous_max)


class WindowedBudget:
    """This node's share of the retry budget of one service."""

    def __init__(
        self,
        rules: RetryRules,
        size: FleetSize,
        started: float,
        phase: float,
    ):
        """Starts without recorded requests.

        Args:
            rules: Limits for the whole fleet.
            size: Number of nodes that share the burst.
            started: When the node's process started, monotonic, in s.
            phase: Rounding offset from 0 to 1, spread evenly over the nodes,
                so that fractions of a retry add up over the fleet.
        """
        self._rules = rules
        self._size = size
        self._full_burst_at = started + rules.window_s
        self._phase = phase
        self._requests: collections.deque[float] = collections.deque()
        self._withdrawals: collections.deque[float] = collections.deque()
        self._reruns: collections.deque[float] = collections.deque()

    @property
    def recorded(self) -> int:
        """Number of timestamps held in memory."""
        return len(self._requests) + len(self._withdrawals) + len(self._reruns)

    def record_request(self, now: float) -> None:
        """Records a caller's request to the service, which adds allowance."""
        self._expire(now)
        self._requests.append(now)

    def record_call(self, now: float, repeated_runs: int) -> None:
        """Records a nested call of the node's worker, which adds no allowance.

        The call is charged like a retry if it may belong to a rerun.

        Args:
            now: Monotonic time, in s.
            repeated_runs: Number of reruns in progress at the worker.
        """
        if repeated_runs:
            self._expire(now)
            self._withdrawals.append(now)

    def allows(self, now: float, rerun: bool) -> bool:
        """Returns whether a retry is within the budget.

        Args:
            now: Monotonic time, in s.
            rerun: Whether a worker may already have begun to run the request.
        """
        self._expire(now)
        allowed = self._rules.ratio * len(self._requests)
        burst = self._rules.burst / self._size.count(now)
        allowed += burst * (
            _FIRST_WINDOW_BURST_SHARE if now < self._full_burst_at else 1.0
        )
        if len(self._withdrawals) + 1 > _SAFETY_FACTOR * allowed + self._phase:
            return False
        limit = _RERUN_SAFETY_FACTOR * allowed + self._phase
        return not rerun or len(self._reruns) + 1 <= limit

    def withdraw(self, now: float, rerun: bool) -> bool:
        """Charges one retry; returns False if the budget is spent.

        Args:
            now: Monotonic time, in s.
            rerun: Whether a worker may already have begun to run the request.
        """
        if not self.allows(now, rerun):
            return False
        self._withdrawals.append(now)
        if rerun:
            self._reruns.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._rules.window_s
        for times in (self._requests, self._withdrawals, self._reruns):
            while times and times[0] < oldest:
                times.popleft()


class WindowedBudgets:
    """This node's shares of the retry budgets, by service."""

    def __init__(
        self,
        rules: RetryRules,
        count_nodes: Callable[[], int],
        started: float,
        phase: float,
    ):
        """Starts without budgets; each is created on first use.

        Args:
            rules: Limits for the whole fleet.
            count_nodes: Returns the current number of nodes.
            started: When the node's process started, monotonic, in s.
            phase: Rounding offset of this node, from 0 to 1.
        """
        self._rules = rules
        self._size = FleetSize(count_nodes, rules.window_s)
        self._started = started
        self._phase = phase
        self._budgets: dict[str, WindowedBudget] = {}

    def for_service(self, service: str) -> WindowedBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedBudget(
                self._rules, self._size, self._started, self._phase
            )
        return budget
