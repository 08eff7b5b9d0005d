"""Retry budget as a share of the requests in a sliding window."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of what is allowed that is used; the rest covers nodes that count the
# fleet differently.
_MARGIN = 0.85
# The same for further runs: a run that is repeated repeats its calls, which
# count at the service that is called.
_RUN_MARGIN = 0.42
# Part of the burst that a process has in its first window: one before it on
# the same node may have spent the rest.
_RESTART_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class RetryRules:
    """What further attempts all nodes together may make at one service.

    Attributes:
        ratio: Share of the requests in a window.
        window_s: Length of the window, in s.
        burst: Further attempts in a window besides that share.
    """

    ratio: float
    window_s: float
    burst: float


class FleetSize:
    """The largest number of nodes in the last window.

    What nodes that are gone have spent still counts in that window.
    """

    def __init__(self, nodes: Callable[[], int], window_s: float):
        """Starts with no node counted.

        Args:
            nodes: Tells how many nodes there are now.
            window_s: Length of the window, in s.
        """
        self._nodes = nodes
        self._window_s = window_s
        self._since = 0.0
        self._most = 0
        self._before = 0

    def count(self, now: float) -> int:
        """Returns the number of nodes, at least 1."""
        if now - self._since >= self._window_s:
            self._before, self._most = self._most, 0
            self._since = now
        self._most = max(self._most, self._nodes())
        return max(1, self._most, self._before)


class WindowedBudget:
    """This node's part of the budget of one service."""

    def __init__(
        self,
        rules: RetryRules,
        size: FleetSize,
        started: float,
        phase: float,
    ):
        """Starts with no request counted.

        Args:
            rules: The rules.
            size: Among how many nodes the burst is shared.
            started: When the node's process started, monotonic, in s.
            phase: 0 to 1, spread evenly over nodes, so that parts of whole
                attempts add up over the fleet.
        """
        self._rules = rules
        self._size = size
        self._full_at = started + rules.window_s
        self._phase = phase
        self._requests: collections.deque[float] = collections.deque()
        self._spent: collections.deque[float] = collections.deque()
        self._runs: collections.deque[float] = collections.deque()

    @property
    def counted(self) -> int:
        """Moments that are held in memory."""
        return len(self._requests) + len(self._spent) + len(self._runs)

    def requested(self, now: float) -> None:
        """Counts a request that a caller sends to the service."""
        self._expire(now)
        self._requests.append(now)

    def called(self, now: float, repeated_runs: int) -> None:
        """Counts a call that the node's worker makes within a request.

        Args:
            now: Monotonic time, in s.
            repeated_runs: Runs at the worker that repeat earlier ones; the
                call may repeat one of theirs.
        """
        if repeated_runs:
            self._expire(now)
            self._spent.append(now)

    def allows(self, now: float, runs: bool) -> bool:
        """Tells whether a further attempt is within the budget.

        Args:
            now: Monotonic time, in s.
            runs: Whether a worker has begun to run the request before.
        """
        self._expire(now)
        allowed = self._rules.ratio * len(self._requests)
        burst = self._rules.burst / self._size.count(now)
        allowed += burst * (_RESTART_SHARE if now < self._full_at else 1.0)
        if len(self._spent) + 1 > _MARGIN * allowed + self._phase:
            return False
        limit = _RUN_MARGIN * allowed + self._phase
        return not runs or len(self._runs) + 1 <= limit

    def spend(self, now: float, runs: bool) -> bool:
        """Takes one attempt; False if none is left."""
        if not self.allows(now, runs):
            return False
        self._spent.append(now)
        if runs:
            self._runs.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._rules.window_s
        for times in (self._requests, self._spent, self._runs):
            while times and times[0] < oldest:
                times.popleft()


class WindowedBudgets:
    """This node's parts of the budgets of all services."""

    def __init__(
        self,
        rules: RetryRules,
        nodes: Callable[[], int],
        started: float,
        phase: float,
    ):
        """Starts without any.

        Args:
            rules: The rules.
            nodes: Tells how many nodes share the burst of the rules.
            started: When the node's process started, monotonic, in s.
            phase: This node's place, 0 to 1, among those that share.
        """
        self._rules = rules
        self._size = FleetSize(nodes, rules.window_s)
        self._started = started
        self._phase = phase
        self._budgets: dict[str, WindowedBudget] = {}

    def of(self, service: str) -> WindowedBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedBudget(
                self._rules, self._size, self._started, self._phase
            )
        return budget
