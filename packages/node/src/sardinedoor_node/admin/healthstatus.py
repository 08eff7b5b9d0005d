"""What the status page shows of health and paths."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.health import monitor
    from sardinedoor_node.health import worker


@dataclasses.dataclass(slots=True)
class HealthStatus:
    """Health of one of the node's own workers.

    Attributes:
        state: in_service, ejected or probation.
        state_age_s: How long it has been so, in s.
        reason: Why it was ejected last; empty if never.
        score: The evidence at that time, to compare with the threshold.
        threshold: The score at which a target is suspected.
        outcomes: Outcomes that the evidence rests on.
        bad: Those of them that spoke against it.
        penalty: Past ejections, weighed by age.
        trial_in_s: Time until a trial is welcome, in s, if ejected.
        weight: Share of traffic relative to a full worker.
        usual_ms: Latency of the service elsewhere, in ms.
        usual_error_share: Share of errors elsewhere.
        suspected: Whether evidence waits for comparison with the others.
    """

    worker: str
    service: str
    state: str
    state_age_s: float
    reason: str
    score: float
    threshold: float
    outcomes: int
    bad: int
    penalty: float
    trial_in_s: float
    weight: float
    usual_ms: float
    usual_error_share: float
    suspected: bool


def collect(found: monitor.HealthMonitor, now: float) -> list[HealthStatus]:
    """Lists the health of a node's own workers.

    Args:
        found: Judges them.
        now: Monotonic time, in s.
    """
    return [
        _row(name, found.service(name), judged, now)
        for name, judged in found.workers.items()
    ]


def _row(
    name: str, service: str, judged: worker.WorkerHealth, now: float
) -> HealthStatus:
    evidence = judged.ejection_evidence
    return HealthStatus(
        name,
        service,
        judged.state.value,
        round(now - judged.state_since, 1),
        evidence.reason.value if evidence else "",
        round(evidence.score, 1) if evidence else 0.0,
        round(evidence.threshold, 1) if evidence else 0.0,
        evidence.outcomes if evidence else 0,
        evidence.bad_outcomes if evidence else 0,
        round(judged.penalty.value(now), 2),
        round(judged.trial_delay_s(now), 1) if judged.ejected else 0.0,
        round(judged.weight(now), 2),
        round(judged.reference.latency_s * 1000, 2),
        round(judged.reference.error_share, 4),
        judged.pending_evidence is not None,
    )
