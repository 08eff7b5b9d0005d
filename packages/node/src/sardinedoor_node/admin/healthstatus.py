"""Health of local workers on the status page."""

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
        worker: Its name.
        service: Name of its service.
        state: in_service, ejected or probation.
        state_age_s: Time since it entered the state, in s.
        reason: Reason of its latest ejection; empty if it never was ejected.
        score: Score of the evidence for that ejection; 0 if there is none.
        threshold: Score at which a target becomes suspected.
        outcomes: Number of request outcomes in the evidence.
        bad: Number of them that were errors or slow.
        penalty: Number of past ejections, which decays with their age.
        trial_in_s: Time until the next trial request is accepted, in s; 0 if
            the worker isn't ejected.
        weight: Its traffic relative to that of a worker at full weight.
        usual_ms: Typical latency of the service's other workers, in ms.
        usual_error_share: Share of errors of those workers, 0 to 1.
        suspected: Whether evidence against it is still to be compared with the
            other workers.
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


def collect(
    health_monitor: monitor.HealthMonitor, now: float
) -> list[HealthStatus]:
    """Returns the health of a node's own workers.

    Args:
        health_monitor: The node's health monitor.
        now: Monotonic time, in s.
    """
    return [
        _worker_status(name, health_monitor.service(name), worker_health, now)
        for name, worker_health in health_monitor.workers.items()
    ]


def _worker_status(
    name: str, service: str, worker_health: worker.WorkerHealth, now: float
) -> HealthStatus:
    evidence = worker_health.ejection_evidence
    return HealthStatus(
        name,
        service,
        worker_health.state.value,
        round(now - worker_health.state_since, 1),
        evidence.reason.value if evidence else "",
        round(evidence.score, 1) if evidence else 0.0,
        round(evidence.threshold, 1) if evidence else 0.0,
        evidence.outcomes if evidence else 0,
        evidence.bad_outcomes if evidence else 0,
        round(worker_health.penalty.value(now), 2),
        round(worker_health.trial_delay_s(now), 1)
        if worker_health.ejected
        else 0.0,
        round(worker_health.weight(now), 2),
        round(worker_health.reference.latency_s * 1000, 2),
        round(worker_health.reference.error_share, 4),
        worker_health.pending_evidence is not None,
    )
