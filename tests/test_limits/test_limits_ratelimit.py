"""Rate limit of a worker: what it admits in any span of time."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import ratelimit

# A worker accepts one and a half times its limit, and a few requests more, in
# any span of this length.
_SPAN_S = 4.0
_TOLERANCE = 1.5
_EXTRA_REQUESTS = 5


def _admit_all(
    limiter: ratelimit.RateLimiter, rng: random.Random, rate: float
) -> list[float]:
    """Plays bursts and pauses for a minute; returns times of admission."""
    admitted = []
    now = 0.0
    limiter.set_rate(rate, now)
    while now < 60.0:
        now += rng.choice((0.0, 0.01, 0.2, 3.0))
        if limiter.delay_s(1, now) <= 0:
            limiter.take(now)
            admitted.append(now)
    return admitted


class RateLimiterTest(testtools.TestCase):
    def test_no_span_of_time_has_more_requests_than_accepted(self):
        rng = random.Random(7)
        for rate in (0.0, 0.3, 1.0, 2.5, 40.0):
            limiter = ratelimit.RateLimiter()
            admitted = _admit_all(limiter, rng, rate)
            bound = _TOLERANCE * _SPAN_S * rate + _EXTRA_REQUESTS
            for first in admitted:
                count = sum(first <= at <= first + _SPAN_S for at in admitted)
                self.assertLessEqual(count, bound, rate)

    def test_worker_gets_what_its_limit_allows(self):
        for rate in (0.5, 2.0, 7.5):
            limiter = ratelimit.RateLimiter()
            limiter.set_rate(rate, 0.0)
            count = 0
            for step in range(6_001):
                if limiter.delay_s(1, step / 100) <= 0:
                    limiter.take(step / 100)
                    count += 1
            self.assertAlmostEqual(60 * rate, count, delta=1)

    def test_request_that_was_not_sent_is_not_charged(self):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(1.0, 0.0)
        limiter.take(1.0)
        self.assertEqual(1.0, limiter.delay_s(1, 1.0))
        limiter.give_back(1.0)
        self.assertEqual(0.0, limiter.delay_s(1, 1.0))

    def test_limit_that_ends_admits_all_requests(self):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(1.0, 0.0)
        self.assertEqual(3.0, limiter.delay_s(3, 0.0))
        limiter.set_rate(None, 0.5)
        self.assertEqual(0.0, limiter.delay_s(3, 0.5))

    def test_worker_that_accepts_nothing_still_gets_a_request_now_and_then(
        self,
    ):
        limiter = ratelimit.RateLimiter()
        limiter.set_rate(0.0, 0.0)
        self.assertEqual(2.0, limiter.delay_s(1, 0.0))
