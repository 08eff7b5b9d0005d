"""Compares a suspected worker with the other workers of its service."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node.health import hypotheses

if TYPE_CHECKING:
    from sardinedoor_node import health

_SHARED_FAULT_RATIO = 0.6
_MIN_LOG_RATIO = 6.0
_MAX_LOG_RATIO = 13.0
_FULL_EXCESS_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Numbers of all outcomes and of bad outcomes in an interval."""

    outcomes: int = 0
    bad: int = 0

    @property
    def bad_share(self) -> float:
        """Share of bad outcomes; 0 if there are no outcomes."""
        return self.bad / max(1, self.outcomes)

    def add(self, other: OutcomeCounts) -> None:
        """Adds the counts of another worker."""
        self.outcomes += other.outcomes
        self.bad += other.bad


def _log_likelihood(counts: OutcomeCounts, bad_share: float) -> float:
    """Returns the binomial log-likelihood, without its constant term."""
    good = counts.outcomes - counts.bad
    likelihood = counts.bad * math.log(bad_share) if counts.bad else 0.0
    return likelihood + (good * math.log(1 - bad_share) if good else 0.0)


def log_likelihood_ratio(
    suspect: OutcomeCounts, others: OutcomeCounts
) -> float:
    """Returns the log-likelihood ratio of separate shares to a common share.

    Args:
        suspect: Outcomes of the suspected worker.
        others: Outcomes of the service's other workers.
    """
    pooled = OutcomeCounts(
        suspect.outcomes + others.outcomes, suspect.bad + others.bad
    )
    separate = _log_likelihood(suspect, suspect.bad_share)
    separate += _log_likelihood(others, others.bad_share)
    common = _log_likelihood(suspect, pooled.bad_share)
    common += _log_likelihood(others, pooled.bad_share)
    return separate - common


def _background_share(evidence: health.Evidence) -> float:
    # The reference is not usable here: it adapts to a lasting fault.
    if evidence.slow_level == 0:
        return hypotheses.MIN_ERROR_SHARE
    return hypotheses.MIN_SLOW_SHARES[evidence.slow_level - 1]


def is_shared_fault(
    evidence: health.Evidence,
    suspect: OutcomeCounts,
    others: OutcomeCounts,
) -> bool:
    """Returns whether other workers of the service may have the same fault.

    The more bad outcomes the others have beyond the background share, the
    larger a log-likelihood ratio is required to blame the suspect alone.

    Args:
        evidence: Evidence against the suspected worker.
        suspect: Its outcomes since the first outcome of the evidence.
        others: Outcomes of the service's other workers in the same interval.

    Returns:
        True if the others have a share of bad outcomes of the same order, or
        if the two shares do not differ significantly yet.
    """
    if not suspect.outcomes or not others.outcomes:
        return True
    if others.bad_share >= _SHARED_FAULT_RATIO * suspect.bad_share:
        return True
    background = _background_share(evidence)
    # A single bad outcome of the others counts as background, even if they
    # have few outcomes.
    repeated_share = max(0, others.bad - 1) / others.outcomes
    excess = min(
        1.0, max(0.0, repeated_share - background) / _FULL_EXCESS_SHARE
    )
    span = _MAX_LOG_RATIO - _MIN_LOG_RATIO
    return (
        log_likelihood_ratio(suspect, others) < _MIN_LOG_RATIO + span * excess
    )
