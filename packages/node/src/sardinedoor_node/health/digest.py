"""What a worker tells other owners of its service, and how they use it."""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node.health import comparison

if TYPE_CHECKING:
    from collections.abc import Sequence

_SMOOTHING = 0.01
_RECENT_OUTCOMES = 64


@dataclasses.dataclass(slots=True)
class Digest:
    """The usual behaviour of one worker.

    Attributes:
        outcomes: How many outcomes it rests on.
        usual: Latency and shares of errors and slow answers.
    """

    outcomes: int
    usual: health.Reference


@dataclasses.dataclass(slots=True)
class _Recent:
    time: float
    error: bool
    level: int


class History:
    """Moving averages of one worker's outcomes, and its latest ones."""

    def __init__(self) -> None:
        self._outcomes = 0
        self._log_latency = 0.0
        self._error_share = 0.0
        self._slow_shares = [0.0] * (health.LEVELS - 1)
        self._recent: collections.deque[_Recent] = collections.deque(
            maxlen=_RECENT_OUTCOMES
        )

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
        usual: bool,
    ) -> None:
        """Counts an outcome.

        Args:
            outcome: The request that ended.
            reference: The same service elsewhere.
            now: Monotonic time, in s.
            usual: Whether it counts for the averages too; not in a cold
                start, nor in probation.
        """
        level = health.latency_level(outcome.latency_s, reference.latency_s)
        error = outcome.kind is not health.Kind.ANSWERED
        self._recent.append(_Recent(now, error, level))
        if not usual:
            return
        self._outcomes += 1
        weight = max(_SMOOTHING, 1 / self._outcomes)
        self._error_share += weight * (error - self._error_share)
        if error:
            return
        log_latency = math.log(max(outcome.latency_s, 1e-6))
        self._log_latency += weight * (log_latency - self._log_latency)
        for number, share in enumerate(self._slow_shares):
            reached = level > number
            self._slow_shares[number] += weight * (reached - share)

    def digest(self) -> Digest:
        """Returns the averages."""
        latency_s = math.exp(self._log_latency) if self._outcomes else 0.0
        usual = health.Reference(
            latency_s, self._error_share, tuple(self._slow_shares)
        )
        return Digest(self._outcomes, usual)

    def since(self, start: float, level: int) -> comparison.Counts:
        """Counts the latest outcomes from a time on.

        Args:
            start: Monotonic time, in s.
            level: Latency level from which on an answer is bad; 0 for none.
        """
        found = comparison.Counts()
        for entry in self._recent:
            if entry.time >= start:
                found.outcomes += 1
                found.bad += entry.error or 0 < level <= entry.level
        return found


_LEAST_OUTCOMES = 10


def combine(digests: Sequence[Digest]) -> health.Reference:
    """Combines digests of several workers, robust to gray ones among them.

    Args:
        digests: Digests of other workers of the service.

    Returns:
        The median of each part; an unknown latency if there are none.
    """
    known = [d.usual for d in digests if d.outcomes >= _LEAST_OUTCOMES]
    if not known:
        return health.Reference()
    shares = zip(*(u.slow_shares for u in known), strict=True)
    return health.Reference(
        statistics.median(u.latency_s for u in known),
        statistics.median(u.error_share for u in known),
        tuple(statistics.median(s) for s in shares),
    )
