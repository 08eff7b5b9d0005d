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
class Standing:
    """What an owner tells ingresses of a worker's health.

    Attributes:
        reason: Why it is ejected; empty if it isn't.
    """

    ejected: bool = False
    weight: float = 1.0
    trial_in_s: float = 0.0
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A worker whose evidence waits for a comparison."""

    worker: str
    service: str
    evidence: health.Evidence


@dataclasses.dataclass(slots=True)
class Answer:
    """What the workers of one node tell the other owners of a service."""

    digests: list[digest.Digest]
    counts: comparison.Counts


def rules(service: settings.ServiceSettings) -> probation.Rules:
    """Reads a team's rules for return."""
    return probation.Rules(
        ejection_s=service.ejection_ms / 1000,
        ejection_max_s=service.ejection_max_ms / 1000,
        half_life_s=service.penalty_half_life_ms / 1000,
        trials=service.probation_requests,
        ramp_s=service.ramp_ms / 1000,
    )


class HealthMonitor:
    """Records the outcomes of a node's workers."""

    def __init__(self, workers: Mapping[str, str], time: clock.Clock):
        """Judges nobody until settings arrive.

        Args:
            workers: Service by name of worker.
            time: The clock.
        """
        self._services = dict(workers)
        self._clock = time
        self._workers: dict[str, worker.WorkerHealth] = {}
        self._settings: dict[str, settings.ServiceSettings] = {}
        self._elsewhere: dict[str, list[digest.Digest]] = {}
        self.on_change: (
            Callable[[str, str, health.Evidence | None], None] | None
        ) = None

    @property
    def services(self) -> set[str]:
        """Names of the services that the node's workers run."""
        return set(self._services.values())

    @property
    def workers(self) -> dict[str, worker.WorkerHealth]:
        """Workers that are judged, by name."""
        return self._workers

    def service(self, name: str) -> str:
        """Returns the service of a worker."""
        return self._services[name]

    def configure(
        self, services: Mapping[str, settings.ServiceSettings]
    ) -> None:
        """Takes the settings; those that changed begin without evidence."""
        for name, service in self._services.items():
            found = services.get(service)
            if found is None:
                continue
            old = self._workers.get(name)
            same = old is not None and self._settings[service] == found
            if same:
                continue
            if old is not None:
                old.configure(
                    sequential.SequentialDetector(found.sensitivity),
                    rules(found),
                )
                continue
            self._workers[name] = self._judge(name, found)
        for service in self.services & services.keys():
            self._settings[service] = services[service]

    def _judge(
        self, name: str, service: settings.ServiceSettings
    ) -> worker.WorkerHealth:
        judged = worker.WorkerHealth(
            sequential.SequentialDetector(service.sensitivity),
            rules(service),
            self._clock.monotonic(),
            service.cold_start_ms / 1000,
        )

        def on_change() -> None:
            if self.on_change is not None:
                self.on_change(name, judged.state.value, judged.evidence)

        judged.on_change = on_change
        return judged

    def admits(
        self, name: str, rotation: worker.Rotation, idempotent: bool
    ) -> bool:
        """Tells whether a worker takes an offered request."""
        judged = self._workers.get(name)
        if judged is None:
            return True
        return judged.admits(rotation, idempotent, self._clock.monotonic())

    def started(self, name: str) -> worker.Run:
        """Counts a request that starts to run."""
        now = self._clock.monotonic()
        judged = self._workers.get(name)
        if judged is None:
            return worker.Run(now, False)
        return judged.started(now)

    def finished(
        self, name: str, run: worker.Run, kind: health.Kind | None
    ) -> None:
        """Counts a request that ended.

        Args:
            name: Name of the worker.
            run: What `started` returned.
            kind: What became of it; None if that says nothing of the worker.
        """
        judged = self._workers.get(name)
        if judged is None:
            return
        if kind is None:
            judged.abandoned(run)
            return
        judged.finished(run, kind, self._clock.monotonic())

    def tick(self) -> None:
        """Counts the age of requests in flight."""
        now = self._clock.monotonic()
        for judged in self._workers.values():
            judged.tick(now)

    def probe_failed(self, name: str) -> None:
        """Counts a failed probe of a worker."""
        judged = self._workers.get(name)
        if judged is not None:
            judged.probe_failed(self._clock.monotonic())

    def standing(self, name: str) -> Standing:
        """Returns what to tell others of a worker."""
        judged = self._workers.get(name)
        if judged is None:
            return Standing()
        now = self._clock.monotonic()
        return Standing(
            judged.ejected,
            judged.weight(now),
            judged.trial_in(now),
            judged.describe(),
        )

    def suspicions(self) -> list[Suspicion]:
        """Lists the workers whose evidence waits for a comparison."""
        return [
            Suspicion(name, self._services[name], judged.pending)
            for name, judged in self._workers.items()
            if judged.pending is not None
        ]

    def answer(
        self, service: str, age_s: float, level: int, without: str = ""
    ) -> Answer:
        """Answers another owner of a service.

        Args:
            service: The service asked for.
            age_s: From how long ago on to count outcomes, in s.
            level: Latency level from which on a request is bad; 0 for none.
            without: Name of a worker to leave out.
        """
        start = self._clock.monotonic() - age_s
        answer = Answer([], comparison.Counts())
        for name, judged in self._workers.items():
            if self._services[name] != service or name == without:
                continue
            answer.digests.append(judged.history.digest())
            if not judged.ejected:
                answer.counts.add(judged.counts(start, level))
        return answer

    def decide(self, suspicion: Suspicion, others: comparison.Counts) -> bool:
        """Ends a comparison; the node's own other workers count too.

        Returns:
            True if the worker is ejected by it.
        """
        now = self._clock.monotonic()
        age_s = now - suspicion.evidence.since
        own = self.answer(
            suspicion.service,
            age_s,
            suspicion.evidence.level,
            suspicion.worker,
        )
        own.counts.add(others)
        judged = self._workers[suspicion.worker]
        return judged.decide(own.counts, now)

    def heard(self, service: str, digests: list[digest.Digest]) -> None:
        """Takes digests of a service's workers elsewhere."""
        self._elsewhere[service] = digests
        for name, judged in self._workers.items():
            if self._services[name] != service:
                continue
            own = self.answer(service, 0.0, 0, name).digests
            judged.reference = digest.combine(own + digests)

    def use_own_history(self) -> None:
        """Takes a worker's own past where nothing is known of others."""
        for judged in self._workers.values():
            if judged.reference.latency_s <= 0 and not judged.ejected:
                judged.reference = digest.combine([judged.history.digest()])
