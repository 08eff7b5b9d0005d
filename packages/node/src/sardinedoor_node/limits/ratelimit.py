"""Limit on the rate of requests to a worker that announces one.

It answers a load at which many workers of a service take only a few requests per
second. The requests of all ingresses pass through the worker's owner, so its limit
holds for all of them together.
"""

from __future__ import annotations

import math

# Unused allowance is kept for this long, in s.
_BURST_S = 1.0
# A lower limit is raised to this rate, in requests per second, since only a response
# tells that a limit has ended.
_MIN_RATE = 0.5
# Absorbs rounding errors of the allowance, in requests.
_EPSILON = 1e-9


class RateLimiter:
    """Token bucket; without a rate it admits all requests."""

    def __init__(self) -> None:
        self._rate: float | None = None
        self._tokens = 0.0
        self._updated_at = -math.inf

    def set_rate(self, rate: float | None, now: float) -> None:
        """Changes the limit.

        A limit begins without allowance, since the requests before it aren't
        known: they may have come through an earlier process.

        Args:
            rate: Requests per second; None for no limit.
            now: Monotonic time, in s.
        """
        if rate is None:
            self._rate = None
            return
        if self._rate is None:
            self._tokens = 0.0
            self._updated_at = now
        self._refill(now)
        self._rate = max(_MIN_RATE, rate)
        self._refill(now)

    def take(self, now: float) -> None:
        """Charges one request."""
        self._refill(now)
        self._tokens -= 1

    def give_back(self, now: float) -> None:
        """Reverts the charge of a request that wasn't sent."""
        self._refill(now)
        self._tokens += 1

    def delay_s(self, count: int, now: float) -> float:
        """Returns the time until a number of requests are admitted, in s.

        Args:
            count: Number of requests, from 1.
            now: Monotonic time, in s.
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        missing = count - self._tokens
        return missing / self._rate if missing > _EPSILON else 0.0

    def _refill(self, now: float) -> None:
        if self._rate is None:
            return
        self._tokens += self._rate * (now - self._updated_at)
        self._tokens = min(self._tokens, max(1.0, _BURST_S * self._rate))
        self._updated_at = now
