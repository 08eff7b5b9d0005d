"""Kinds of target faults, and a model of latency and errors under them."""

from __future__ import annotations

import dataclasses
import math
import random

GRAY_WORKER = "w0"
START_S = 20.0
TIMEOUT_S = 2.0
MEDIAN_LATENCY_S = 0.02
_LATENCY_SIGMA = 0.5
_TAIL_SHARE = 0.02
_TAIL_EXPONENT = 1.5
_BASE_ERROR_SHARE = 0.01
_WARM_UP_S = 5.0
_COLD_EXTRA_FACTOR = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of fault that starts at START_S.

    Attributes:
        name: Name in the printed tables.
        error_share: Share of requests that fail because of the fault, 0 to 1.
        slow_factor: Factor by which the fault multiplies latency.
        hangs: Whether requests never finish.
        flap_s: Length of each faulty and each healthy phase of a flapping
            target, in s; 0 if the fault is permanent.
        shared: Whether the fault affects all targets of the service.
        cold: Whether the target restarts and is slow while it warms up.
        ejections_are_false: Whether no target is an outlier, so that each
            ejection is a false positive.
        duration_s: Time to simulate from START_S on, in s.
    """

    name: str
    error_share: float = 0.0
    slow_factor: float = 1.0
    hangs: bool = False
    flap_s: float = 0.0
    shared: bool = False
    cold: bool = False
    ejections_are_false: bool = False
    duration_s: float = 30.0


KINDS = {
    k.name: k
    for k in (
        Kind("errors", error_share=1.0),
        Kind("fails 1 in 2", error_share=0.5),
        Kind("fails 1 in 3", error_share=1 / 3),
        Kind("fails 1 in 10", error_share=0.1, duration_s=120.0),
        Kind("slow 3x", slow_factor=3.0),
        Kind("slow 10x", slow_factor=10.0),
        Kind("hangs", hangs=True),
        Kind("flaps 1 s", error_share=1.0, flap_s=1.0),
        Kind("flaps 5 s", error_share=1.0, flap_s=5.0),
        Kind("flaps 30 s", error_share=1.0, flap_s=30.0),
        Kind("cold start", cold=True, ejections_are_false=True),
        Kind(
            "all slow 3x",
            slow_factor=3.0,
            shared=True,
            ejections_are_false=True,
        ),
        Kind(
            "all slow 10x",
            slow_factor=10.0,
            shared=True,
            ejections_are_false=True,
        ),
        Kind(
            "all fail 1 in 2",
            error_share=0.5,
            shared=True,
            ejections_are_false=True,
        ),
        Kind("all hang", hangs=True, shared=True, ejections_are_false=True),
        Kind("healthy", ejections_are_false=True),
    )
}


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Simulated result of one request at a target.

    Attributes:
        latency_s: Latency at the target, in s; infinite if it hangs.
        error: Whether the request fails.
        caused_by_fault: Whether the fault made the request fail, hang or take
            longer; False for a cold start.
    """

    latency_s: float
    error: bool
    caused_by_fault: bool


def _draw_healthy_latency_s(rng: random.Random) -> float:
    latency_s = MEDIAN_LATENCY_S * math.exp(rng.gauss(0.0, _LATENCY_SIGMA))
    if rng.random() < _TAIL_SHARE:
        latency_s *= rng.paretovariate(_TAIL_EXPONENT)
    return latency_s


def draw_result(
    kind: Kind, worker: str, now: float, rng: random.Random
) -> RequestResult:
    """Draws the result of a request.

    Args:
        kind: Kind of fault that is simulated.
        worker: Name of the worker that runs the request.
        now: Simulated time at which the request starts, in s.
        rng: Source of random numbers.
    """
    latency_s = _draw_healthy_latency_s(rng)
    error = rng.random() < _BASE_ERROR_SHARE
    fault_age_s = now - START_S
    if fault_age_s < 0 or (worker != GRAY_WORKER and not kind.shared):
        return RequestResult(latency_s, error, False)
    if kind.cold:
        cold_share = max(0.0, 1 - fault_age_s / _WARM_UP_S)
        return RequestResult(
            latency_s * (1 + _COLD_EXTRA_FACTOR * cold_share), error, False
        )
    if kind.flap_s and int(fault_age_s / kind.flap_s) % 2:
        return RequestResult(latency_s, error, False)
    if kind.hangs:
        return RequestResult(math.inf, False, True)
    failed = rng.random() < kind.error_share
    slow = kind.slow_factor > 1
    return RequestResult(
        latency_s * kind.slow_factor, error or failed, failed or slow
    )
