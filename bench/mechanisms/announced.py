"""Mechanisms of limits and departures that targets announce."""

from __future__ import annotations

from mechanisms import mechanism

_LIMIT_TESTS = (
    "tests/test_ingress/test_ingress_limits.py",
    "tests/test_limits/test_limits_admission.py",
    "tests/test_limits/test_limits_ratelimit.py",
    "tests/test_owner/test_owner_announcements.py",
    "tests/test_picking/test_picking_leastcost.py",
)
_DEPARTURE_TESTS = (
    "platform/tests/test_announcements.py",
    "tests/test_owner/test_owner_announcements.py",
    "tests/test_published/test_published_fleet.py",
)
MECHANISMS = [
    mechanism.Mechanism(
        "an owner grants no more than the announced limit",
        "limits/admission.py",
        "            and self.rate_limiter.delay_s(1, now) <= 0\n",
        "",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "a limit begins without allowance",
        "limits/ratelimit.py",
        "self._tokens = min(self._tokens, max(1.0, _BURST_S * self._rate))",
        "self._tokens = min(self._tokens + 9, 9 + self._rate)",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "a restarted owner takes over the limit that ingresses know",
        "owner/announcements.py",
        "if not self.unheard or learned_at <= self._adopted_learned_at:",
        "if True:",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "an owner that has heard nothing doesn't end a limit",
        "picking/tracking.py",
        "if report.unheard and report.rate_limit is None:",
        "if False:",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "a request that wasn't sent isn't charged to the limit",
        "limits/admission.py",
        "            self.rate_limiter.give_back(now)\n",
        "            pass\n",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "no request joins a queue whose limit admits it too late",
        "picking/leastcost.py",
        "            and self._is_admitted_by(t, now + wait_s)\n",
        "",
        _LIMIT_TESTS,
    ),
    mechanism.Mechanism(
        "a response to an earlier request doesn't end a departure",
        "owner/announcements.py",
        "elif sent_at > self._leaving_since and not announcement.invalid:",
        "elif not announcement.invalid:",
        _DEPARTURE_TESTS,
    ),
    mechanism.Mechanism(
        "an ingress keeps a leaving target out of the choice",
        "published/fleet.py",
        "if self._leaving_targets.get(entry.name) != entry.started_ms",
        "if True",
        _DEPARTURE_TESTS,
    ),
    mechanism.Mechanism(
        "a target that has started again is no longer leaving",
        "owner/colocated.py",
        "            current.started_again(self._clock.monotonic())\n",
        "            current.client.close()\n",
        _DEPARTURE_TESTS,
    ),
]
