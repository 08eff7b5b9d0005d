"""Retry budget as a share of the requests in a sliding window."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


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


# A run that is repeated repeats the calls that it makes; those count where
# they arrive, and only the ingress of the first request can leave room.
_MARGIN = 0.42


class WindowedBudget:
    """This node's part of the budget of one service."""

    def __init__(self, rules: RetryRules, nodes: Callable[[], int]):
        """Starts with no request counted.

        Args:
            rules: The rules.
            nodes: Tells among how many nodes the burst is shared.
        """
        self._rules = rules
        self._nodes = nodes
        self._requests: collections.deque[float] = collections.deque()
        self._spent: collections.deque[float] = collections.deque()

    def requested(self, now: float) -> None:
        """Counts a request for the service."""
        self._requests.append(now)

    def allows(self, now: float) -> bool:
        """Tells whether a further attempt is within the budget."""
        self._expire(now)
        rules = self._rules
        allowed = rules.ratio * len(self._requests)
        allowed += rules.burst / max(1, self._nodes())
        return len(self._spent) + 1 <= _MARGIN * allowed

    def spend(self, now: float) -> bool:
        """Takes one attempt; False if none is left."""
        if not self.allows(now):
            return False
        self._spent.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._rules.window_s
        for times in (self._requests, self._spent):
            while times and times[0] < oldest:
                times.popleft()
