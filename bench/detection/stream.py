"""Feeds long streams of healthy outcomes to one detector."""

from __future__ import annotations

import random

from detection import faults
from sardinedoor_node import health
from sardinedoor_node.health import digest
from sardinedoor_node.health import sequential

_INTERVAL_S = 0.2
_REFRESH_OUTCOMES = 50


def _draw(rng: random.Random) -> health.Outcome:
    drawn = faults.effect(faults.KINDS["healthy"], "w1", 0.0, rng)
    if drawn.latency_s > faults.TIMEOUT_S:
        return health.Outcome(health.OutcomeKind.TIMEOUT, faults.TIMEOUT_S)
    kind = (
        health.OutcomeKind.ERROR if drawn.error else health.OutcomeKind.ANSWERED
    )
    return health.Outcome(kind, drawn.latency_s)


def alarms(
    sensitivity: float,
    seed: int,
    outcomes: int,
    make: type[health.Detector] | None = None,
) -> int:
    """Counts alarms on healthy outcomes, before any comparison.

    Args:
        sensitivity: The team's setting.
        seed: Seed of randomness.
        outcomes: How many outcomes to feed.
        make: Another class of detector than the sequential one.
    """
    rng = random.Random(seed)
    detector = make() if make else sequential.SequentialDetector(sensitivity)
    history = digest.OutcomeHistory()
    reference = health.Reference()
    found = 0
    for number in range(outcomes):
        now = number * _INTERVAL_S
        outcome = _draw(rng)
        history.record(outcome, reference, now, True)
        if number % _REFRESH_OUTCOMES == 0:
            reference = digest.combine([history.digest()])
        if detector.record(outcome, reference, now) is not None:
            found += 1
            detector.reset()
    return found
