"""How targets behave in the grid."""

from __future__ import annotations

import dataclasses
import math
import random

GRAY = "w0"
START_S = 20.0
TIMEOUT_S = 2.0
LATENCY_S = 0.02
_SIGMA = 0.5
_TAIL_SHARE = 0.02
_TAIL_EXPONENT = 1.5
_BACKGROUND_ERRORS = 0.01
_COLD_S = 5.0
_COLD_FACTOR = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One way to fail, from START_S on.

    Attributes:
        name: Its name in reports.
        error_share: Share of requests that fail.
        slow_factor: Factor on latency.
        hangs: Whether no request ends.
        flap_s: Length of each sick and each healthy phase, in s.
        shared: Whether all targets of the service do so.
        cold: Whether the target starts anew, and is slow for a while.
        healthy: Whether an ejection is a false one.
        length_s: How long to go on after the start, in s.
    """

    name: str
    error_share: float = 0.0
    slow_factor: float = 1.0
    hangs: bool = False
    flap_s: float = 0.0
    shared: bool = False
    cold: bool = False
    healthy: bool = False
    length_s: float = 30.0


KINDS = {
    k.name: k
    for k in (
        Kind("errors", error_share=1.0),
        Kind("fails 1 in 2", error_share=0.5),
        Kind("fails 1 in 3", error_share=1 / 3),
        Kind("fails 1 in 10", error_share=0.1, length_s=120.0),
        Kind("slow 3x", slow_factor=3.0),
        Kind("slow 10x", slow_factor=10.0),
        Kind("hangs", hangs=True),
        Kind("flaps 1 s", error_share=1.0, flap_s=1.0),
        Kind("flaps 5 s", error_share=1.0, flap_s=5.0),
        Kind("flaps 30 s", error_share=1.0, flap_s=30.0),
        Kind("cold start", cold=True, healthy=True),
        Kind("all slow 3x", slow_factor=3.0, shared=True, healthy=True),
        Kind("all slow 10x", slow_factor=10.0, shared=True, healthy=True),
        Kind("all fail 1 in 2", error_share=0.5, shared=True, healthy=True),
        Kind("all hang", hangs=True, shared=True, healthy=True),
        Kind("healthy", healthy=True),
    )
}


@dataclasses.dataclass(slots=True)
class Effect:
    """What becomes of one request.

    Attributes:
        latency_s: Time at the target, in s; infinite for a hang.
        error: Whether it fails.
        bad: Whether the fault had a part in it.
    """

    latency_s: float
    error: bool
    bad: bool


def _usual_latency_s(rng: random.Random) -> float:
    latency_s = LATENCY_S * math.exp(rng.gauss(0.0, _SIGMA))
    if rng.random() < _TAIL_SHARE:
        latency_s *= rng.paretovariate(_TAIL_EXPONENT)
    return latency_s


def effect(kind: Kind, worker: str, now: float, rng: random.Random) -> Effect:
    """Draws what becomes of a request.

    Args:
        kind: The fault of the run.
        worker: The target.
        now: Time of its start, in s.
        rng: Source of randomness.
    """
    latency_s = _usual_latency_s(rng)
    error = rng.random() < _BACKGROUND_ERRORS
    age = now - START_S
    if age < 0 or (worker != GRAY and not kind.shared):
        return Effect(latency_s, error, False)
    if kind.cold:
        left = max(0.0, 1 - age / _COLD_S)
        return Effect(latency_s * (1 + _COLD_FACTOR * left), error, False)
    if kind.flap_s and int(age / kind.flap_s) % 2:
        return Effect(latency_s, error, False)
    if kind.hangs:
        return Effect(math.inf, False, True)
    failed = rng.random() < kind.error_share
    slow = kind.slow_factor > 1
    return Effect(latency_s * kind.slow_factor, error or failed, failed or slow)
