"""Distributions of outcomes of healthy and of gray targets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sardinedoor_node import health

if TYPE_CHECKING:
    from collections.abc import Sequence

ERROR = health.LEVELS
"""Index of an error in a table of outcomes; latency levels come before."""

ERROR_FLOOR = 0.015
"""Least share of errors that a healthy target is taken to have."""

SLOW_FLOORS = (0.10, 0.03, 0.012, 0.0025, 0.0012)
"""The same for answers at or above latency levels 1 to LEVELS - 1."""

_MARGIN = 1.5
_SHARE_MAX = 0.9
_LEAST = 1e-4

_ERROR_SHARES = (0.10, 0.50, 0.95)
_SLOW_SHARES = (
    (0.80, 0.30, 0.06, 0.02, 0.01),
    (0.98, 0.93, 0.65, 0.18, 0.03),
    (0.99, 0.98, 0.97, 0.96, 0.95),
)
_SLOW_LEVELS = (1, 2, 4)
COUNT = len(_ERROR_SHARES) + len(_SLOW_SHARES)


def reason(index: int) -> health.Reason:
    """Tells what the alternative of an index stands for."""
    if index < len(_ERROR_SHARES):
        return health.Reason.ERRORS
    return health.Reason.SLOW


def level(index: int) -> int:
    """Tells from which latency level on an answer supports an alternative.

    Returns:
        The level; 0 where only errors do.
    """
    if index < len(_ERROR_SHARES):
        return 0
    return _SLOW_LEVELS[index - len(_ERROR_SHARES)]


def _shares(error: float, slow: Sequence[float]) -> list[float]:
    """Turns shares at or above each level into shares of each outcome."""
    steps = [1.0, *slow, 0.0]
    answered = [
        max(_LEAST, steps[n] - steps[n + 1]) for n in range(health.LEVELS)
    ]
    scale = (1.0 - error) / sum(answered)
    return [a * scale for a in answered] + [error]


class Ratios:
    """Log likelihood ratios of outcomes for one reference.

    Attributes:
        ended: By alternative and outcome, for a request that ended.
        reached: By alternative and latency level, for one still in flight.
    """

    __slots__ = ("ended", "reached")

    def __init__(self, reference: health.Reference):
        """Computes the tables.

        Args:
            reference: The service elsewhere, taken as healthy.
        """
        error = max(ERROR_FLOOR, _MARGIN * reference.error_share)
        error = min(error, _SHARE_MAX)
        slow = [
            min(_SHARE_MAX, max(floor, _MARGIN * share))
            for floor, share in zip(
                SLOW_FLOORS, reference.slow_shares, strict=True
            )
        ]
        healthy = _shares(error, slow)
        gray = [(max(e, error), slow) for e in _ERROR_SHARES]
        gray += [
            (error, [max(a, b) for a, b in zip(shares, slow, strict=True)])
            for shares in _SLOW_SHARES
        ]
        self.ended = [
            [
                math.log(a / b)
                for a, b in zip(_shares(*shares), healthy, strict=True)
            ]
            for shares in gray
        ]
        self.reached = [
            [0.0]
            + [math.log(a / b) for a, b in zip(shares[1], slow, strict=True)]
            for shares in gray
        ]
