"""Health of one local worker: in service, ejected or on probation."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import digest
from sardinedoor_node.health import probation

if TYPE_CHECKING:
    from collections.abc import Callable

TRIAL_INTERVAL_S = 0.2
_INITIAL_RAMP_WEIGHT = 0.2
_COLD_START_LATENCY_FACTOR = 4.0
_FAILED_TRIAL_LEVEL = 2
_COMPARISON_TIMEOUT_S = 2.0
_READMISSION_SCORE_SHARE = 0.5
_MIN_TRIAL_WAIT_S = 30.0


class State(enum.Enum):
    """State of a worker in the ejection cycle.

    IN_SERVICE takes all requests. EJECTED takes none until the ejection time
    is over. PROBATION takes trials, like a half-open circuit breaker.
    """

    IN_SERVICE = "in_service"
    EJECTED = "ejected"
    PROBATION = "probation"


class Rotation(enum.Enum):
    """Why an ingress offers a request to a worker.

    IN: The ingress considers the worker healthy. TRIAL: The ingress considers
    it faulty and sends a trial request. FLOOR: The ingress considers it
    faulty but uses it, because the service would otherwise have fewer workers
    in rotation than its floor.
    """

    IN = "in"
    TRIAL = "trial"
    FLOOR = "floor"


@dataclasses.dataclass(slots=True, eq=False)
class RunningRequest:
    """A request in flight at the worker.

    Attributes:
        started_at: Monotonic time in s.
        is_trial: Whether it was started on probation.
        counted_level: Highest latency level of its age counted so far.
    """

    started_at: float
    is_trial: bool
    counted_level: int = 0


class WorkerHealth:
    """Decides on the ejection and readmission of one worker."""

    def __init__(
        self,
        detector: health.Detector,
        rules: probation.ReadmissionRules,
        now: float,
        cold_start_s: float = 0.0,
    ):
        """Starts in service, at the beginning of a cold start.

        Args:
            detector: Detects faults from outcomes.
            rules: The team's settings for readmission.
            now: Monotonic time in s.
            cold_start_s: Time after its start during which higher latencies
                are expected of the worker, in s.
        """
        self._detector = detector
        self._penalty = probation.Penalty(rules)
        self._cold_start_s = cold_start_s
        self._state = State.IN_SERVICE
        self._state_since = now
        self._ejected_until = 0.0
        self._warm_at = now + cold_start_s
        self._ramp_start = now if cold_start_s else float("-inf")
        self._good_trials = 0
        self._next_trial_at = 0.0
        self._last_trial_at = now
        self._ejection_s = 0.0
        self._is_trial_running = False
        self._running: list[RunningRequest] = []
        self._pending_evidence: health.Evidence | None = None
        self._pending_since = now
        self._ejection_evidence: health.Evidence | None = None
        self.reference = health.Reference()
        self.history = digest.OutcomeHistory()
        self.on_change: Callable[[], None] | None = None

    @property
    def state(self) -> State:
        """Current state in the ejection cycle."""
        return self._state

    @property
    def ejected(self) -> bool:
        """Whether the worker is ejected or on probation."""
        return self._state is not State.IN_SERVICE

    @property
    def state_since(self) -> float:
        """Monotonic time of the last state change, in s."""
        return self._state_since

    @property
    def ejection_evidence(self) -> health.Evidence | None:
        """Evidence that led to the last ejection; None before the first."""
        return self._ejection_evidence

    @property
    def pending_evidence(self) -> health.Evidence | None:
        """Evidence to be checked against other workers before an ejection."""
        return self._pending_evidence

    @property
    def penalty(self) -> probation.Penalty:
        """Penalty for past ejections."""
        return self._penalty

    def describe_ejection(self) -> str:
        """Returns the cause of the current ejection; empty if in service."""
        evidence = self._ejection_evidence
        if not self.ejected or evidence is None:
            return ""
        return (
            f"{evidence.reason.value} in {evidence.bad_outcomes} of"
            f" {evidence.outcomes} requests"
        )

    def configure(
        self, detector: health.Detector, rules: probation.ReadmissionRules
    ) -> None:
        """Applies changed settings; the state and the penalty are kept."""
        self._detector = detector
        self._penalty.rules = rules
        self._pending_evidence = None

    def weight(self, now: float) -> float:
        """Returns the load balancing weight, up to 1 after the ramp."""
        ramp_s = self._penalty.rules.ramp_s
        age_s = now - self._ramp_start
        if ramp_s <= 0 or age_s >= ramp_s:
            return 1.0
        return (
            _INITIAL_RAMP_WEIGHT
            + (1 - _INITIAL_RAMP_WEIGHT) * max(0.0, age_s) / ramp_s
        )

    def trial_delay_s(self, now: float) -> float:
        """Returns the time until the next trial is admitted, in s."""
        if self._state is State.EJECTED:
            return max(0.0, self._ejected_until - now)
        return max(0.0, self._next_trial_at - now)

    def admits(self, rotation: Rotation, idempotent: bool, now: float) -> bool:
        """Returns whether the worker accepts an offered request.

        Args:
            rotation: Why the ingress offers the request to this worker.
            idempotent: Whether the request is idempotent; only such requests
                are accepted as trials.
            now: Monotonic time in s.
        """
        if not self.ejected or rotation is Rotation.FLOOR:
            return True
        if rotation is Rotation.IN or not idempotent:
            return False
        return self.trial_delay_s(now) <= 0 and not self._is_trial_running

    def request_started(self, now: float) -> RunningRequest:
        """Counts a request that the worker starts.

        The first request after the ejection time puts the worker on probation.
        """
        if self._state is State.EJECTED and now >= self._ejected_until:
            self._enter(State.PROBATION, now)
            self._good_trials = 0
        request = RunningRequest(now, self._state is State.PROBATION)
        if request.is_trial:
            self._is_trial_running = True
            self._next_trial_at = now + TRIAL_INTERVAL_S
            self._last_trial_at = now
        self._running.append(request)
        return request

    def request_finished(
        self, request: RunningRequest, kind: health.OutcomeKind, now: float
    ) -> None:
        """Counts the outcome of a request.

        Args:
            request: The result of `request_started`.
            kind: How the request ended.
            now: Monotonic time in s.
        """
        if request in self._running:
            self._running.remove(request)
        outcome = health.Outcome(
            kind, now - request.started_at, request.counted_level
        )
        reference = self._expected_reference(now)
        update_averages = not self.ejected and now >= self._warm_at
        self.history.record(outcome, reference, now, update_averages)
        if request.is_trial:
            self._is_trial_running = False
            self._on_trial_finished(outcome, now)
            return
        if self._state is State.IN_SERVICE:
            self._handle_evidence(
                self._detector.record(outcome, reference, now), now
            )

    def request_abandoned(self, request: RunningRequest) -> None:
        """Drops a request whose outcome is no evidence on the worker."""
        if request in self._running:
            self._running.remove(request)
        if request.is_trial:
            self._is_trial_running = False

    def tick(self, now: float) -> None:
        """Counts requests in flight by their age, and ends idle ejections.

        The call interval delays the detection of a request that hangs.
        """
        if self.ejected and now >= self._trial_wait_ends_at():
            self._readmit(now)
        reference = self._expected_reference(now)
        for request in self._running:
            level = health.latency_level(
                now - request.started_at, reference.latency_s
            )
            if level <= request.counted_level:
                continue
            if request.is_trial and level >= _FAILED_TRIAL_LEVEL:
                request.counted_level = level
                self._on_trial_failed(now)
            elif self._state is State.IN_SERVICE and not request.is_trial:
                evidence = self._detector.record_overdue(
                    request.counted_level, level, reference, now
                )
                request.counted_level = level
                self._handle_evidence(evidence, now)

    def probe_failed(self, now: float) -> None:
        """Counts a failed probe, which only adds to existing evidence."""
        if self._state is State.IN_SERVICE:
            self._handle_evidence(self._detector.record_failed_probe(now), now)

    def count_since(
        self, start: float, slow_level: int
    ) -> comparison.OutcomeCounts:
        """Counts recent outcomes, and requests in flight that are bad already.

        Args:
            start: Monotonic time from which outcomes count, in s.
            slow_level: Latency level from which a request is bad; 0 if only
                errors are.
        """
        counts = self.history.count_since(start, slow_level)
        if slow_level:
            overdue = sum(
                request.counted_level >= slow_level for request in self._running
            )
            counts.add(comparison.OutcomeCounts(overdue, overdue))
        return counts

    def conclude_comparison(
        self, others: comparison.OutcomeCounts, now: float
    ) -> bool:
        """Ejects the worker unless other workers share its fault.

        Without outcomes of other workers, the worker is ejected after
        _COMPARISON_TIMEOUT_S.

        Args:
            others: Outcomes of the service's other workers since the first
                outcome of the pending evidence.
            now: Monotonic time in s.

        Returns:
            True if this call ejected the worker.
        """
        evidence = self._pending_evidence
        if evidence is None or self._state is not State.IN_SERVICE:
            return False
        own = self.count_since(evidence.since, evidence.slow_level)
        no_comparison = others.outcomes == 0
        timed_out = now - self._pending_since >= _COMPARISON_TIMEOUT_S
        shared = comparison.is_shared_fault(evidence, own, others)
        if shared and not (no_comparison and timed_out):
            return False
        self._eject(evidence, now)
        return True

    def worker_restarted(self, now: float) -> None:
        """Begins a new cold start and ramp."""
        self._warm_at = now + self._cold_start_s
        self._ramp_start = now

    def _expected_reference(self, now: float) -> health.Reference:
        """Returns the reference, with a higher latency during a cold start."""
        if now >= self._warm_at or self._cold_start_s <= 0:
            return self.reference
        remaining = (self._warm_at - now) / self._cold_start_s
        factor = 1.0 + (_COLD_START_LATENCY_FACTOR - 1.0) * remaining
        return dataclasses.replace(
            self.reference, latency_s=self.reference.latency_s * factor
        )

    def _handle_evidence(
        self, evidence: health.Evidence | None, now: float
    ) -> None:
        """Ejects the worker, or keeps the evidence until it is compared."""
        if evidence is None:
            self._pending_evidence = None
            return
        if not self._detector.needs_comparison:
            self._eject(evidence, now)
            return
        if self._pending_evidence is None:
            self._pending_since = now
        self._pending_evidence = evidence

    def _enter(self, state: State, now: float) -> None:
        self._state = state
        self._state_since = now
        if self.on_change is not None:
            self.on_change()

    def _eject(self, evidence: health.Evidence, now: float) -> None:
        self._ejection_evidence = evidence
        self._pending_evidence = None
        self._begin_ejection(now)

    def _begin_ejection(self, now: float) -> None:
        self._penalty.add(now)
        self._ejection_s = self._penalty.ejection_s(now)
        self._ejected_until = now + self._ejection_s
        self._enter(State.EJECTED, now)

    def _on_trial_finished(self, outcome: health.Outcome, now: float) -> None:
        if self._state is not State.PROBATION:
            return
        level = health.latency_level(
            outcome.latency_s, self.reference.latency_s
        )
        failed = outcome.kind is not health.OutcomeKind.ANSWERED
        if failed or level >= _FAILED_TRIAL_LEVEL:
            self._on_trial_failed(now)
            return
        self._good_trials += 1
        if self._good_trials < self._penalty.required_trials(now):
            return
        self._readmit(now)

    def _readmit(self, now: float) -> None:
        self._detector.reset(_READMISSION_SCORE_SHARE)
        self._ramp_start = now
        self._enter(State.IN_SERVICE, now)

    def _trial_wait_ends_at(self) -> float:
        """Returns when the worker is readmitted for lack of trial requests."""
        last = max(self._ejected_until, self._last_trial_at)
        return last + max(_MIN_TRIAL_WAIT_S, self._ejection_s)

    def _on_trial_failed(self, now: float) -> None:
        if self._state is not State.PROBATION:
            return
        self._begin_ejection(now)
