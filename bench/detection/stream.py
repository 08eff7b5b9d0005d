"""False alarms of one detector on long streams of healthy outcomes."""

from __future__ import annotations

import random

from detection import faults
from sardinedoor_node import health
from sardinedoor_node.health import digest
from sardinedoor_node.health import sequential

_OUTCOME_INTERVAL_S = 0.2
_OUTCOMES_PER_REFERENCE = 50


def _draw_outcome(rng: random.Random) -> health.Outcome:
    result = faults.draw_result(faults.KINDS["healthy"], "w1", 0.0, rng)
    if result.latency_s > faults.TIMEOUT_S:
        return health.Outcome(health.OutcomeKind.TIMEOUT, faults.TIMEOUT_S)
    kind = (
        health.OutcomeKind.ERROR
        if result.error
        else health.OutcomeKind.ANSWERED
    )
    return health.Outcome(kind, result.latency_s)


def alarms(
    sensitivity: float,
    seed: int,
    outcomes: int,
    detector_class: type[health.Detector] | None = None,
) -> int:
    """Counts suspicions of a healthy target, all of them false positives.

    No suspicion is checked against the service's other workers.

    Args:
        sensitivity: The team's setting, 0 to 1.
        seed: Seed of the random outcomes.
        outcomes: Number of outcomes to record.
        detector_class: Class of detector to measure; None for the sequential
            detector at the given sensitivity.

    Returns:
        The number of suspicions.
    """
    rng = random.Random(seed)
    detector = (
        detector_class()
        if detector_class
        else sequential.SequentialDetector(sensitivity)
    )
    history = digest.OutcomeHistory()
    reference = health.Reference()
    alarm_count = 0
    for number in range(outcomes):
        now = number * _OUTCOME_INTERVAL_S
        outcome = _draw_outcome(rng)
        history.record(outcome, reference, now, True)
        if number % _OUTCOMES_PER_REFERENCE == 0:
            reference = digest.combine([history.digest()])
        if detector.record(outcome, reference, now) is not None:
            alarm_count += 1
            detector.reset()
    return alarm_count
