"""Distributions of outcomes under the null and alternative hypotheses.

The null hypothesis is a healthy target. Each alternative hypothesis is a gray
target, one that passes its probes but fails or delays client requests.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sardinedoor_node import health

if TYPE_CHECKING:
    from collections.abc import Sequence

ERROR_INDEX = health.LATENCY_LEVEL_COUNT
"""Index of an error in a table by outcome; latency levels precede it."""

MIN_ERROR_SHARE = 0.015
"""Lower bound of the share of errors assumed of a healthy target."""

MIN_SLOW_SHARES = (0.10, 0.03, 0.012, 0.0025, 0.0012)
"""Lower bounds of the shares of answers at or above latency levels 1 to
LATENCY_LEVEL_COUNT - 1 assumed of a healthy target."""

_HEALTHY_MARGIN_FACTOR = 1.5
_MAX_HEALTHY_SHARE = 0.9
_MIN_PROBABILITY = 1e-4

_GRAY_ERROR_SHARES = (0.10, 0.50, 0.95)
_GRAY_SLOW_SHARES = (
    (0.80, 0.30, 0.06, 0.02, 0.01),
    (0.98, 0.93, 0.65, 0.18, 0.03),
    (0.99, 0.98, 0.97, 0.96, 0.95),
)
_FIRST_SLOW_LEVELS = (1, 2, 4)
ALTERNATIVE_COUNT = len(_GRAY_ERROR_SHARES) + len(_GRAY_SLOW_SHARES)


def reason(alternative: int) -> health.Reason:
    """Returns the kind of fault that an alternative hypothesis describes."""
    if alternative < len(_GRAY_ERROR_SHARES):
        return health.Reason.ERRORS
    return health.Reason.SLOW


def slow_level(alternative: int) -> int:
    """Returns the latency level from which an answer supports an alternative.

    Args:
        alternative: Index of the alternative hypothesis.

    Returns:
        The level; 0 if only errors support the alternative.
    """
    if alternative < len(_GRAY_ERROR_SHARES):
        return 0
    return _FIRST_SLOW_LEVELS[alternative - len(_GRAY_ERROR_SHARES)]


def _outcome_probabilities(
    error_share: float, slow_shares: Sequence[float]
) -> list[float]:
    """Returns the probability of each latency level and of an error.

    Args:
        error_share: Probability of an error.
        slow_shares: Shares of answers at or above each latency level from 1.
    """
    cumulative = [1.0, *slow_shares, 0.0]
    answered = [
        max(_MIN_PROBABILITY, cumulative[n] - cumulative[n + 1])
        for n in range(health.LATENCY_LEVEL_COUNT)
    ]
    scale = (1.0 - error_share) / sum(answered)
    return [a * scale for a in answered] + [error_share]


class LogLikelihoodRatios:
    """Log-likelihood ratios of outcomes for one reference.

    Attributes:
        finished: Ratio by alternative and by outcome of a finished request.
        in_flight: Ratio by alternative and by latency level that the age of
            a request in flight has reached.
    """

    __slots__ = ("finished", "in_flight")

    def __init__(self, reference: health.Reference):
        """Computes the tables.

        Args:
            reference: Typical figures of the service's other workers, which
                are assumed to be healthy.
        """
        error_share = max(
            MIN_ERROR_SHARE, _HEALTHY_MARGIN_FACTOR * reference.error_share
        )
        error_share = min(error_share, _MAX_HEALTHY_SHARE)
        slow_shares = [
            min(
                _MAX_HEALTHY_SHARE,
                max(min_share, _HEALTHY_MARGIN_FACTOR * share),
            )
            for min_share, share in zip(
                MIN_SLOW_SHARES, reference.slow_shares, strict=True
            )
        ]
        healthy = _outcome_probabilities(error_share, slow_shares)
        alternatives = [
            (max(gray_share, error_share), slow_shares)
            for gray_share in _GRAY_ERROR_SHARES
        ]
        alternatives += [
            (
                error_share,
                [max(a, b) for a, b in zip(gray, slow_shares, strict=True)],
            )
            for gray in _GRAY_SLOW_SHARES
        ]
        self.finished = [
            [
                math.log(a / b)
                for a, b in zip(
                    _outcome_probabilities(*alternative), healthy, strict=True
                )
            ]
            for alternative in alternatives
        ]
        self.in_flight = [
            [0.0]
            + [
                math.log(a / b)
                for a, b in zip(alternative[1], slow_shares, strict=True)
            ]
            for alternative in alternatives
        ]
