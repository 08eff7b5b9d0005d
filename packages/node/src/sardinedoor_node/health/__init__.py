"""Evidence on targets: who is in trouble, and since when."""

from __future__ import annotations

import abc
import dataclasses
import enum
import math

LEVELS = 6


class Kind(enum.Enum):
    """What became of one real request."""

    ANSWERED = "answered"
    ERROR = "error"
    TIMEOUT = "timeout"


class Reason(enum.Enum):
    """What a target is suspected of."""

    ERRORS = "errors"
    SLOW = "slow"


@dataclasses.dataclass(slots=True)
class Outcome:
    """One real request that ended.

    Attributes:
        kind: What became of it.
        latency_s: Time from its start at the target to its end, in s.
        applied: Latency level already recorded while it was in flight.
    """

    kind: Kind
    latency_s: float
    applied: int = 0


@dataclasses.dataclass(slots=True)
class Reference:
    """How the same service behaves elsewhere.

    Attributes:
        latency_s: Typical latency in s; 0 while it is not known.
        error_share: Share of errors, 0 to 1.
        slow_shares: Share of requests at or above latency levels 1
            to LEVELS - 1.
    """

    latency_s: float = 0.0
    error_share: float = 0.0
    slow_shares: tuple[float, ...] = (0.0,) * (LEVELS - 1)


@dataclasses.dataclass(slots=True)
class Evidence:
    """Why a target is suspected.

    Attributes:
        reason: What it is suspected of.
        score: Strength of the evidence, in the detector's own unit.
        threshold: The score at which the detector suspects.
        since: Monotonic time of the first outcome counted, in s.
        outcomes: Outcomes counted.
        bad: Those of them that speak against the target.
        level: Latency level from which on an answer does; 0 for errors only.
    """

    reason: Reason
    score: float
    threshold: float
    since: float
    outcomes: int
    bad: int
    level: int = 0


def latency_level(latency_s: float, reference_s: float) -> int:
    """Classes a latency by octaves above the reference.

    Args:
        latency_s: The latency, in s.
        reference_s: Typical latency of the service, in s; 0 for unknown.

    Returns:
        0 below twice the reference, 1 below four times, up to LEVELS - 1.
    """
    if reference_s <= 0 or latency_s < 2 * reference_s:
        return 0
    return min(LEVELS - 1, int(math.log2(latency_s / reference_s)))


class Detector(abc.ABC):
    """Judges one target by its real outcomes."""

    compares = False
    """Whether suspicion has to be compared with the service elsewhere."""

    @abc.abstractmethod
    def record(
        self, outcome: Outcome, reference: Reference, now: float
    ) -> Evidence | None:
        """Counts an outcome.

        Args:
            outcome: The request that ended.
            reference: The same service elsewhere.
            now: Monotonic time, in s.

        Returns:
            Evidence if the target is suspected now.
        """

    def overdue(
        self, applied: int, level: int, reference: Reference, now: float
    ) -> Evidence | None:
        """Counts a request in flight that reached a latency level.

        Args:
            applied: Level already counted for this request.
            level: Level that its age has reached.
            reference: The same service elsewhere.
            now: Monotonic time, in s.

        Returns:
            Evidence if the target is suspected now.
        """
        del applied, level, reference, now
        return None

    def probe_failed(self, now: float) -> Evidence | None:
        """Counts a failed probe; it can only add to evidence at hand."""
        del now
        return None

    @abc.abstractmethod
    def reset(self, head_start: float = 0.0) -> None:
        """Forgets all evidence.

        Args:
            head_start: Share of the threshold to start from, 0 to 1.
        """
