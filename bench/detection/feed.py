"""Simulates detectors and pickers of one service on a virtual clock."""

from __future__ import annotations

import dataclasses
import datetime
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from detection import faults
from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import consecutive
from sardinedoor_node.health import digest
from sardinedoor_node.health import probation
from sardinedoor_node.health import sequential
from sardinedoor_node.health import window
from sardinedoor_node.health import worker as worker_health
from sardinedoor_node.membership import table
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import twochoices
from sardinedoor_node.picking import views
from sardinedoor_node.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS_PER_WORKER = 3
FLOORS = {20: 12, 6: 4, 14: 9, 8: 6}
_INGRESS_COUNT = 3
_DOMAIN_COUNT = 3
_TICK_INTERVAL_S = 0.05
_REFERENCE_INTERVAL_S = 5.0
_COMPARISON_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 3
_COLD_START_S = 10.0
_IDEMPOTENT_SHARE = 0.8

DETECTORS: dict[str, Callable[[], health.Detector]] = {
    "agora": lambda: sequential.SequentialDetector(1.0),
    "lone star": lambda: sequential.SequentialDetector(0.0),
    "five errors": consecutive.ConsecutiveDetector,
    "10 s window": window.WindowDetector,
}


class VirtualClock(clock.Clock):
    """Clock whose time a simulation sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def monotonic(self) -> float:
        """See base class."""
        return self.time

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.fromtimestamp(self.time, datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """See base class; not supported, as no simulated code sleeps."""
        raise NotImplementedError


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """Parameters of one simulation.

    The random sources are seeded with the repr of a case, so a change of its
    name, fields or values changes the simulated outcomes.

    Attributes:
        kind: Name of the kind of fault.
        detector: Name of the detector.
        pool: Number of workers of the service.
        load: Requests per second per worker.
        seed: Number that distinguishes cases with equal parameters.
    """

    kind: str
    detector: str
    pool: int
    load: float
    seed: int


@dataclasses.dataclass(slots=True)
class Verdict:
    """Results of one simulation.

    Attributes:
        case: Parameters of the simulation.
        seconds: Detection latency from the first bad outcome to the ejection,
            in s; None if the target was not ejected.
        outcomes: Number of outcomes of the faulty target in that time.
        false_ejections: Number of ejections of healthy targets.
        healthy_outcomes: Number of outcomes of healthy targets.
        late_work: Number of requests that ejected targets ran, except trials
            and requests offered because of the floor.
        shares: Traffic of the gray target relative to an equal share, for each
            cycle of flapping.
        least_rotation: Smallest number of targets in rotation at any ingress.
    """

    case: Case
    seconds: float | None = None
    outcomes: int = 0
    false_ejections: int = 0
    healthy_outcomes: int = 0
    late_work: int = 0
    shares: list[float] = dataclasses.field(default_factory=list)
    least_rotation: int = 0


@dataclasses.dataclass(slots=True)
class _RequestInFlight:
    worker: str
    ingress: int
    token: float
    health_request: worker_health.RunningRequest
    outcome_kind: health.OutcomeKind
    caused_by_fault: bool


class Feed:
    """Simulates one service, the health of its targets and a few ingresses."""

    def __init__(self, case: Case, cycles: int = 0):
        """Prepares a simulation.

        Args:
            case: Parameters of the simulation.
            cycles: Number of whole cycles of a flapping target to simulate; 0
                to stop at the first ejection.
        """
        self._case = case
        self._kind = faults.KINDS[case.kind]
        self._cycles = cycles
        self._clock = VirtualClock()
        self._rng = random.Random(repr(case))
        self._events: list[tuple] = []
        self._event_numbers = itertools.count()
        self._in_flight = dict.fromkeys((f"w{n}" for n in range(case.pool)), 0)
        self._targets = [
            table.Target(
                name, "service", f"n-{name}", False, f"d{n % _DOMAIN_COUNT}"
            )
            for n, name in enumerate(self._in_flight)
        ]
        self._health = {name: self._new_health() for name in self._in_flight}
        self._verdict = Verdict(case, least_rotation=case.pool)
        self._first_bad_at: float | None = None
        self._known_ejected: set[str] = set()
        self._compared_at = dict.fromkeys(self._in_flight, 0.0)
        self._counts_by_cycle: dict[int, tuple[int, int]] = {}
        self._pickers = [self._new_picker(n) for n in range(_INGRESS_COUNT)]

    def _new_health(self) -> worker_health.WorkerHealth:
        return worker_health.WorkerHealth(
            DETECTORS[self._case.detector](),
            probation.ReadmissionRules(),
            0.0,
            _COLD_START_S,
        )

    def _new_picker(self, number: int) -> twochoices.TwoChoicesPicker:
        location = tracking.Location(f"i{number}", f"d{number}")
        floor = FLOORS[self._case.pool]
        rng = random.Random(f"{self._case!r} {number}")
        return twochoices.TwoChoicesPicker(
            rng, self._clock, location, lambda service: floor
        )

    def run(self) -> Verdict:
        """Simulates until the fault is detected or the duration is over."""
        end = faults.START_S + self._kind.duration_s
        if self._cycles:
            end = faults.START_S + self._cycles * 2 * self._kind.flap_s
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._advance_health)
        self._schedule(0.5, self._update_references)
        if self._kind.cold:
            self._schedule(faults.START_S, self._restart_gray_worker)
        while self._events:
            time, _, callback, argument = heapq.heappop(self._events)
            if time > end or self._is_detected():
                break
            self._clock.time = time
            callback(argument) if argument is not None else callback()
        self._verdict.shares = self._traffic_shares()
        return self._verdict

    def _is_detected(self) -> bool:
        if self._cycles or self._kind.ejections_are_false:
            return False
        return self._verdict.seconds is not None

    def _traffic_shares(self) -> list[float]:
        return [
            gray * self._case.pool / max(1, total)
            for _, (gray, total) in sorted(self._counts_by_cycle.items())
        ]

    def _schedule(self, time: float, callback: Callable, argument=None) -> None:
        entry = (time, next(self._event_numbers), callback, argument)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        now = self._clock.time
        rate = self._case.load * self._case.pool
        self._schedule(now + self._rng.expovariate(rate), self._arrive)
        ingress = self._rng.randrange(_INGRESS_COUNT)
        idempotent = self._rng.random() < _IDEMPOTENT_SHARE
        tried: set[str] = set()
        for _ in range(_MAX_ATTEMPTS):
            picker = self._pickers[ingress]
            choice = picker.pick(self._targets, tried, idempotent)
            if choice is None:
                return
            name = choice.target.worker
            tried.add(name)
            if self._offer(ingress, choice, idempotent):
                return

    def _offer(self, ingress: int, choice, idempotent: bool) -> bool:
        now = self._clock.time
        name = choice.target.worker
        target_health = self._health[name]
        admitted = target_health.admits(choice.rotation, idempotent, now)
        if not admitted or self._in_flight[name] >= SLOTS_PER_WORKER:
            self._refuse(ingress, choice.target)
            return False
        if (
            target_health.ejected
            and choice.rotation is worker_health.Rotation.IN
        ):
            self._verdict.late_work += 1
        self._start(ingress, choice.target)
        return True

    def _refuse(self, ingress: int, target: table.Target) -> None:
        now = self._clock.time
        picker = self._pickers[ingress]
        token = picker.request_started(target)
        report = self._make_report(target.worker)
        picker.request_finished(target, token, views.Feedback(now, report))

    def _start(self, ingress: int, target: table.Target) -> None:
        now = self._clock.time
        name = target.worker
        self._count_flap_traffic(name)
        result = faults.draw_result(self._kind, name, now, self._rng)
        outcome_kind = (
            health.OutcomeKind.ERROR
            if result.error
            else health.OutcomeKind.ANSWERED
        )
        latency_s = result.latency_s
        if latency_s > faults.TIMEOUT_S:
            latency_s = faults.TIMEOUT_S
            outcome_kind = health.OutcomeKind.TIMEOUT
        self._in_flight[name] += 1
        token = self._pickers[ingress].request_started(target)
        health_request = self._health[name].request_started(now)
        if self._kind.hangs and result.caused_by_fault:
            self._record_bad_outcome(now)
        request = _RequestInFlight(
            name,
            ingress,
            token,
            health_request,
            outcome_kind,
            result.caused_by_fault,
        )
        self._schedule(now + latency_s, self._finish, request)

    def _count_flap_traffic(self, name: str) -> None:
        if not self._kind.flap_s or self._clock.time < faults.START_S:
            return
        fault_age_s = self._clock.time - faults.START_S
        cycle = int(fault_age_s / (2 * self._kind.flap_s))
        gray, total = self._counts_by_cycle.get(cycle, (0, 0))
        self._counts_by_cycle[cycle] = (
            gray + (name == faults.GRAY_WORKER),
            total + 1,
        )

    def _finish(self, request: _RequestInFlight) -> None:
        now = self._clock.time
        name = request.worker
        self._in_flight[name] -= 1
        if self._is_gray(name):
            if request.caused_by_fault and not self._kind.hangs:
                self._record_bad_outcome(now)
            elif self._first_bad_at is not None:
                self._verdict.outcomes += not self._kind.hangs
        else:
            self._verdict.healthy_outcomes += 1
        self._health[name].request_finished(
            request.health_request, request.outcome_kind, now
        )
        self._check_ejection(name)
        picker = self._pickers[request.ingress]
        target = self._targets[int(name[1:])]
        feedback = views.Feedback(now, self._make_report(name))
        picker.request_finished(target, request.token, feedback)

    def _is_gray(self, name: str) -> bool:
        return name == faults.GRAY_WORKER and not self._kind.ejections_are_false

    def _record_bad_outcome(self, now: float) -> None:
        if self._first_bad_at is None:
            self._first_bad_at = now
        if self._verdict.seconds is None:
            self._verdict.outcomes += 1

    def _make_report(self, name: str) -> views.Report:
        now = self._clock.time
        target_health = self._health[name]
        return views.Report(
            target_health.ejected,
            target_health.weight(now),
            target_health.trial_delay_s(now),
            self._in_flight[name],
        )

    def _check_ejection(self, name: str) -> None:
        """Runs a pending comparison and records an ejection of the worker."""
        now = self._clock.time
        target_health = self._health[name]
        is_pending = target_health.pending_evidence is not None
        if (
            is_pending
            and now - self._compared_at[name] >= _COMPARISON_INTERVAL_S
        ):
            self._compared_at[name] = now
            others = comparison.OutcomeCounts()
            evidence = target_health.pending_evidence
            for other, other_health in self._health.items():
                if other != name and not other_health.ejected:
                    others.add(
                        other_health.count_since(
                            evidence.since, evidence.slow_level
                        )
                    )
            target_health.conclude_comparison(others, now)
        if not target_health.ejected:
            self._known_ejected.discard(name)
            return
        if name in self._known_ejected:
            return
        self._known_ejected.add(name)
        if not self._is_gray(name):
            self._verdict.false_ejections += 1
        elif self._verdict.seconds is None and self._first_bad_at is not None:
            self._verdict.seconds = now - self._first_bad_at

    def _advance_health(self) -> None:
        now = self._clock.time
        self._schedule(now + _TICK_INTERVAL_S, self._advance_health)
        for name, target_health in self._health.items():
            target_health.tick(now)
            if (
                target_health.pending_evidence is not None
                or target_health.ejected
            ):
                self._check_ejection(name)
        for picker in self._pickers:
            out_of_rotation = len(picker.split_rotation(self._targets).out)
            self._verdict.least_rotation = min(
                self._verdict.least_rotation,
                len(self._targets) - out_of_rotation,
            )

    def _restart_gray_worker(self) -> None:
        self._health[faults.GRAY_WORKER].worker_restarted(self._clock.time)

    def _update_references(self) -> None:
        now = self._clock.time
        self._schedule(now + _REFERENCE_INTERVAL_S, self._update_references)
        digests = {n: h.history.digest() for n, h in self._health.items()}
        for name, target_health in self._health.items():
            others = [d for n, d in digests.items() if n != name]
            target_health.reference = digest.combine(others)
