"""Whether trouble of one worker is shared by the rest of its service."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node.health import alternatives

if TYPE_CHECKING:
    from sardinedoor_node import health

_SHARED_RATIO = 0.6
_DIFFERENCE_LEAST = 6.0
_DIFFERENCE_FULL = 13.0
_EXCESS_FULL = 0.1


@dataclasses.dataclass(slots=True)
class Counts:
    """Outcomes in a stretch of time, and how many of them are bad."""

    outcomes: int = 0
    bad: int = 0

    @property
    def share(self) -> float:
        """Share of bad outcomes; 0 without outcomes."""
        return self.bad / max(1, self.outcomes)

    def add(self, other: Counts) -> None:
        """Adds the outcomes of another worker."""
        self.outcomes += other.outcomes
        self.bad += other.bad


def _log_likelihood(counts: Counts, share: float) -> float:
    """Returns the log likelihood of the counts at a share."""
    good = counts.outcomes - counts.bad
    found = counts.bad * math.log(share) if counts.bad else 0.0
    return found + (good * math.log(1 - share) if good else 0.0)


def difference(one: Counts, others: Counts) -> float:
    """Returns the log likelihood ratio of two shares against a common one."""
    common = Counts(one.outcomes + others.outcomes, one.bad + others.bad)
    apart = _log_likelihood(one, one.share)
    apart += _log_likelihood(others, others.share)
    together = _log_likelihood(one, common.share)
    together += _log_likelihood(others, common.share)
    return apart - together


def _usual_share(evidence: health.Evidence) -> float:
    # Not the reference's: it follows trouble that lasts.
    if evidence.level == 0:
        return alternatives.ERROR_FLOOR
    return alternatives.SLOW_FLOORS[evidence.level - 1]


def is_shared(
    evidence: health.Evidence,
    one: Counts,
    others: Counts,
) -> bool:
    """Tells whether the rest of the service may have the same trouble.

    The more trouble the others show beyond the usual, the clearer the
    difference has to be.

    Args:
        evidence: What speaks against one worker.
        one: Its outcomes since that evidence began.
        others: Outcomes of other workers in the same time.

    Returns:
        True if trouble elsewhere is of the same order, or if the two shares
        of bad outcomes don't differ clearly yet.
    """
    if not one.outcomes or not others.outcomes:
        return True
    if others.share >= _SHARED_RATIO * one.share:
        return True
    usual = _usual_share(evidence)
    # A single bad outcome elsewhere is background, however few there are.
    repeated = max(0, others.bad - 1) / others.outcomes
    excess = min(1.0, max(0.0, repeated - usual) / _EXCESS_FULL)
    span = _DIFFERENCE_FULL - _DIFFERENCE_LEAST
    return difference(one, others) < _DIFFERENCE_LEAST + span * excess
