"""Health of all workers of one node."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import digest
from sardinedoor_node.health import probation
from sardinedoor_node.health import sequential
from sardinedoor_node.health import worker

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import settings


@dataclasses.dataclass(slots=True)
class AdvertisedHealth:
    """Health of a worker as its owner advertises it to ingresses.

    Attributes:
        ejected: Whether the worker is ejected or on probation.
        weight: Load balancing weight, up to 1.
        trial_delay_s: Time until the next trial is admitted, in s.
        reason: Cause of the ejection; empty if the worker is in service.
    """

    ejected: bool = False
    weight: float = 1.0
    trial_delay_s: float = 0.0
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspected worker that must be compared before it is ejected."""

    worker: str
    service: str
    evidence: health.Evidence


@dataclasses.dataclass(slots=True)
class ServiceStatistics:
    """Statistics of one node's workers for the other owners of a service.

    Attributes:
        digests: One digest for each worker.
        counts: Outcomes of all workers that are in service.
    """

    digests: list[digest.Digest]
    counts: comparison.OutcomeCounts


def readmission_rules(
    service: settings.ServiceSettings,
) -> probation.ReadmissionRules:
    """Converts a service's settings for readmission from ms to s."""
    return probation.ReadmissionRules(
        ejection_s=service.ejection_ms / 1000,
        ejection_max_s=service.ejection_max_ms / 1000,
        half_life_s=service.penalty_half_life_ms / 1000,
        required_trials=service.probation_requests,
        ramp_s=service.ramp_ms / 1000,
    )


class HealthMonitor:
    """Tracks the health of a node's workers by the outcomes of requests."""

    def __init__(self, workers: Mapping[str, str], time: clock.Clock):
        """Starts without settings; workers are not monitored until then.

        Args:
            workers: Name of the service by name of the worker.
            time: The clock.
        """
        self._services = dict(workers)
        self._clock = time
        self._workers: dict[str, worker.WorkerHealth] = {}
        self._settings: dict[str, settings.ServiceSettings] = {}
        self._remote_digests: dict[str, list[digest.Digest]] = {}
        self.on_change: (
            Callable[[str, str, health.Evidence | None], None] | None
        ) = None

    @property
    def services(self) -> set[str]:
        """Names of the services of the node's workers."""
        return set(self._services.values())

    @property
    def workers(self) -> dict[str, worker.WorkerHealth]:
        """Health of the monitored workers by name."""
        return self._workers

    def service(self, name: str) -> str:
        """Returns the service of a worker."""
        return self._services[name]

    def configure(
        self, services: Mapping[str, settings.ServiceSettings]
    ) -> None:
        """Applies settings; changed ones discard the evidence so far.

        Args:
            services: Settings by name of the service. Workers of services
                that are missing here keep their settings.
        """
        for name, service in self._services.items():
            new_settings = services.get(service)
            if new_settings is None:
                continue
            current = self._workers.get(name)
            unchanged = (
                current is not None and self._settings[service] == new_settings
            )
            if unchanged:
                continue
            if current is not None:
                current.configure(
                    sequential.SequentialDetector(new_settings.sensitivity),
                    readmission_rules(new_settings),
                )
                continue
            self._workers[name] = self._create_worker_health(name, new_settings)
        for service in self.services & services.keys():
            self._settings[service] = services[service]

    def _create_worker_health(
        self, name: str, service: settings.ServiceSettings
    ) -> worker.WorkerHealth:
        worker_health = worker.WorkerHealth(
            sequential.SequentialDetector(service.sensitivity),
            readmission_rules(service),
            self._clock.monotonic(),
            service.cold_start_ms / 1000,
        )

        def on_change() -> None:
            if self.on_change is not None:
                self.on_change(
                    name,
                    worker_health.state.value,
                    worker_health.ejection_evidence,
                )

        worker_health.on_change = on_change
        return worker_health

    def admits(
        self, name: str, rotation: worker.Rotation, idempotent: bool
    ) -> bool:
        """Returns whether a worker accepts an offered request.

        Args:
            name: Name of the worker.
            rotation: Why the ingress offers the request to this worker.
            idempotent: Whether the request is idempotent.
        """
        worker_health = self._workers.get(name)
        if worker_health is None:
            return True
        return worker_health.admits(
            rotation, idempotent, self._clock.monotonic()
        )

    def request_started(self, name: str) -> worker.RunningRequest:
        """Counts a request that a worker starts.

        Args:
            name: Name of the worker.

        Returns:
            The request, to be passed to `request_finished`.
        """
        now = self._clock.monotonic()
        worker_health = self._workers.get(name)
        if worker_health is None:
            return worker.RunningRequest(now, False)
        return worker_health.request_started(now)

    def request_finished(
        self,
        name: str,
        request: worker.RunningRequest,
        kind: health.OutcomeKind | None,
    ) -> None:
        """Counts the outcome of a request.

        Args:
            name: Name of the worker.
            request: The result of `request_started`.
            kind: How the request ended; None if this is no evidence on the
                worker.
        """
        worker_health = self._workers.get(name)
        if worker_health is None:
            return
        if kind is None:
            worker_health.request_abandoned(request)
            return
        worker_health.request_finished(request, kind, self._clock.monotonic())

    def tick(self) -> None:
        """Counts requests in flight by their age, and ends idle ejections."""
        now = self._clock.monotonic()
        for worker_health in self._workers.values():
            worker_health.tick(now)

    def probe_failed(self, name: str) -> None:
        """Counts a failed probe of a worker."""
        worker_health = self._workers.get(name)
        if worker_health is not None:
            worker_health.probe_failed(self._clock.monotonic())

    def advertised_health(self, name: str) -> AdvertisedHealth:
        """Returns the health of a worker for ingresses and gossip."""
        worker_health = self._workers.get(name)
        if worker_health is None:
            return AdvertisedHealth()
        now = self._clock.monotonic()
        return AdvertisedHealth(
            worker_health.ejected,
            worker_health.weight(now),
            worker_health.trial_delay_s(now),
            worker_health.describe_ejection(),
        )

    def suspicions(self) -> list[Suspicion]:
        """Returns the suspected workers that are still to be compared."""
        return [
            Suspicion(
                name, self._services[name], worker_health.pending_evidence
            )
            for name, worker_health in self._workers.items()
            if worker_health.pending_evidence is not None
        ]

    def statistics(
        self,
        service: str,
        age_s: float,
        slow_level: int,
        excluded_worker: str = "",
    ) -> ServiceStatistics:
        """Returns the statistics of the node's workers of a service.

        Args:
            service: Name of the service.
            age_s: Age up to which outcomes are counted, in s.
            slow_level: Latency level from which a request is bad; 0 if only
                errors are.
            excluded_worker: Name of a worker to exclude; empty for none.
        """
        start = self._clock.monotonic() - age_s
        statistics = ServiceStatistics([], comparison.OutcomeCounts())
        for name, worker_health in self._workers.items():
            if self._services[name] != service or name == excluded_worker:
                continue
            statistics.digests.append(worker_health.history.digest())
            if not worker_health.ejected:
                statistics.counts.add(
                    worker_health.count_since(start, slow_level)
                )
        return statistics

    def conclude_comparison(
        self, suspicion: Suspicion, others: comparison.OutcomeCounts
    ) -> bool:
        """Ejects a suspected worker unless other workers share its fault.

        The other workers of this node are part of the comparison.

        Args:
            suspicion: The suspected worker and the evidence against it.
            others: Outcomes of the service's workers on other nodes since the
                first outcome of the evidence.

        Returns:
            True if this call ejected the worker.
        """
        now = self._clock.monotonic()
        age_s = now - suspicion.evidence.since
        statistics = self.statistics(
            suspicion.service,
            age_s,
            suspicion.evidence.slow_level,
            suspicion.worker,
        )
        statistics.counts.add(others)
        worker_health = self._workers[suspicion.worker]
        return worker_health.conclude_comparison(statistics.counts, now)

    def update_references(
        self, service: str, digests: list[digest.Digest]
    ) -> None:
        """Updates the references of a service's workers on this node.

        Args:
            service: Name of the service.
            digests: Digests of the service's workers on other nodes.
        """
        self._remote_digests[service] = digests
        for name, worker_health in self._workers.items():
            if self._services[name] != service:
                continue
            local_digests = self.statistics(service, 0.0, 0, name).digests
            worker_health.reference = digest.combine(local_digests + digests)

    def fill_references_from_own_history(self) -> None:
        """Uses a worker's own averages where no other worker has any."""
        for worker_health in self._workers.values():
            if (
                worker_health.reference.latency_s <= 0
                and not worker_health.ejected
            ):
                worker_health.reference = digest.combine(
                    [worker_health.history.digest()]
                )
