"""Summary statistics of workers, exchanged by the owners of a service."""

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

# The nth outcome enters the averages with a weight of 1 / n, but at least this.
_MIN_SMOOTHING_WEIGHT = 0.01
_MAX_RECENT_OUTCOMES = 64


@dataclasses.dataclass(slots=True)
class Digest:
    """Summary statistics of one worker.

    Attributes:
        outcomes: Number of request outcomes in the averages.
        averages: Average latency, share of requests that failed, and shares of
            answers at or above each latency level (`health.latency_level`).
    """

    outcomes: int
    averages: health.Reference


@dataclasses.dataclass(slots=True)
class _RecentOutcome:
    """Outcome of one request.

    Attributes:
        ended_at: When the request ended, monotonic, in s.
        is_error: Whether it failed or timed out.
        latency_level: Number of octaves by which its latency exceeded the
            service's typical latency.
    """

    ended_at: float
    is_error: bool
    latency_level: int


class OutcomeHistory:
    """Moving averages of one worker's outcomes, and its latest outcomes."""

    def __init__(self) -> None:
        self._outcomes = 0
        self._log_latency = 0.0
        self._error_share = 0.0
        self._slow_shares = [0.0] * (health.LATENCY_LEVEL_COUNT - 1)
        self._recent: collections.deque[_RecentOutcome] = collections.deque(
            maxlen=_MAX_RECENT_OUTCOMES
        )

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
        update_averages: bool,
    ) -> None:
        """Counts a finished request.

        Args:
            outcome: Result of the request.
            reference: Typical latency and shares of the service's other
                workers.
            now: Monotonic time in s.
            update_averages: Whether the outcome enters the averages. False
                during a cold start and while the worker is ejected or on
                probation, when its outcomes are not typical of it.
        """
        level = health.latency_level(outcome.latency_s, reference.latency_s)
        is_error = outcome.kind is not health.OutcomeKind.ANSWERED
        self._recent.append(_RecentOutcome(now, is_error, level))
        if not update_averages:
            return
        self._outcomes += 1
        weight = max(_MIN_SMOOTHING_WEIGHT, 1 / self._outcomes)
        self._error_share += weight * (is_error - self._error_share)
        if is_error:
            return
        log_latency = math.log(max(outcome.latency_s, 1e-6))
        self._log_latency += weight * (log_latency - self._log_latency)
        for index, share in enumerate(self._slow_shares):
            # The share at index i belongs to latency level i + 1.
            is_slow = level > index
            self._slow_shares[index] += weight * (is_slow - share)

    def digest(self) -> Digest:
        """Returns the current averages; the latency is a geometric mean."""
        latency_s = math.exp(self._log_latency) if self._outcomes else 0.0
        averages = health.Reference(
            latency_s, self._error_share, tuple(self._slow_shares)
        )
        return Digest(self._outcomes, averages)

    def count_since(
        self, start: float, slow_level: int
    ) -> comparison.OutcomeCounts:
        """Counts the latest outcomes that ended at or after a time.

        Args:
            start: Monotonic time in s.
            slow_level: Latency level from which an answer counts as bad; 0 if
                only errors do.
        """
        counts = comparison.OutcomeCounts()
        for recent in self._recent:
            if recent.ended_at >= start:
                counts.outcomes += 1
                counts.bad += (
                    recent.is_error or 0 < slow_level <= recent.latency_level
                )
        return counts


_MIN_DIGEST_OUTCOMES = 10


def combine(digests: Sequence[Digest]) -> health.Reference:
    """Combines digests by medians, which a few faulty workers barely shift.

    Args:
        digests: Digests of other workers of the service. Those of fewer than
            _MIN_DIGEST_OUTCOMES outcomes are ignored.

    Returns:
        The median of each average; a latency of 0, which means unknown, if no
        digest is left.
    """
    averages = [
        d.averages for d in digests if d.outcomes >= _MIN_DIGEST_OUTCOMES
    ]
    if not averages:
        return health.Reference()
    slow_shares = zip(*(a.slow_shares for a in averages), strict=True)
    return health.Reference(
        statistics.median(a.latency_s for a in averages),
        statistics.median(a.error_share for a in averages),
        tuple(statistics.median(s) for s in slow_shares),
    )
