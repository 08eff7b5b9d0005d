"""Outlier detection: outcomes of requests as evidence against a target."""

from __future__ import annotations

import abc
import dataclasses
import enum
import math

LATENCY_LEVEL_COUNT = 6


class OutcomeKind(enum.Enum):
    """How a client request that reached the target ended."""

    ANSWERED = "answered"
    ERROR = "error"
    TIMEOUT = "timeout"


class Reason(enum.Enum):
    """Kind of fault of which a target is suspected."""

    ERRORS = "errors"
    SLOW = "slow"


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one client request; probes are not among them.

    Attributes:
        kind: How the request ended.
        latency_s: Time from the start at the target to the end, in s.
        counted_level: Highest latency level that the detector counted while
            the request was still in flight.
    """

    kind: OutcomeKind
    latency_s: float
    counted_level: int = 0


@dataclasses.dataclass(slots=True)
class Reference:
    """Typical latency and error share of the other workers of a service.

    Attributes:
        latency_s: Typical latency in s; 0 if unknown.
        error_share: Share of requests that fail, 0 to 1.
        slow_shares: Shares of requests at or above latency levels 1 to
            LATENCY_LEVEL_COUNT - 1.
    """

    latency_s: float = 0.0
    error_share: float = 0.0
    slow_shares: tuple[float, ...] = (0.0,) * (LATENCY_LEVEL_COUNT - 1)


@dataclasses.dataclass(slots=True)
class Evidence:
    """Statistics that make a detector suspect a target.

    Attributes:
        reason: Kind of fault.
        score: Test statistic of the detector, in the detector's own unit.
        threshold: Score from which the detector suspects the target.
        since: Monotonic time of the first outcome counted, in s.
        outcomes: Number of outcomes counted.
        bad_outcomes: Number of outcomes that raised the score.
        slow_level: Latency level from which an answer counts as bad; 0 if
            only errors do.
    """

    reason: Reason
    score: float
    threshold: float
    since: float
    outcomes: int
    bad_outcomes: int
    slow_level: int = 0


def latency_level(latency_s: float, reference_s: float) -> int:
    """Returns by how many octaves a latency exceeds the reference.

    Args:
        latency_s: Latency in s.
        reference_s: Typical latency of the service in s; 0 if unknown.

    Returns:
        0 below twice the reference, 1 below four times the reference, and so
        on, at most LATENCY_LEVEL_COUNT - 1.
    """
    if reference_s <= 0 or latency_s < 2 * reference_s:
        return 0
    return min(LATENCY_LEVEL_COUNT - 1, int(math.log2(latency_s / reference_s)))


class Detector(abc.ABC):
    """Detects a faulty target from the outcomes of its client requests."""

    needs_comparison = False
    """Whether a suspicion must be checked against the service's other workers
    before the target is ejected."""

    @abc.abstractmethod
    def record(
        self, outcome: Outcome, reference: Reference, now: float
    ) -> Evidence | None:
        """Counts a finished request.

        Args:
            outcome: Result of the request.
            reference: Typical figures of the service's other workers.
            now: Monotonic time in s.

        Returns:
            The evidence if the target is suspected now, otherwise None.
        """

    def record_overdue(
        self, counted_level: int, level: int, reference: Reference, now: float
    ) -> Evidence | None:
        """Counts a request in flight whose age reached a latency level.

        Args:
            counted_level: Level already counted for this request.
            level: Level that the age of the request has reached.
            reference: Typical figures of the service's other workers.
            now: Monotonic time in s.

        Returns:
            The evidence if the target is suspected now, otherwise None.
        """
        del counted_level, level, reference, now
        return None

    def record_failed_probe(self, now: float) -> Evidence | None:
        """Counts a failed probe, which only adds to existing evidence.

        Args:
            now: Monotonic time in s.

        Returns:
            The evidence if the target is suspected now, otherwise None.
        """
        del now
        return None

    @abc.abstractmethod
    def reset(self, initial_share: float = 0.0) -> None:
        """Discards all evidence.

        Args:
            initial_share: Share of the threshold at which the score starts
                again, 0 to 1.
        """
