"""Health of one local worker: in service, ejected, or on probation."""

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
_WEIGHT_START = 0.2
_COLD_FACTOR = 4.0
_TRIAL_LEVEL_LIMIT = 2
_COMPARE_LIMIT_S = 2.0
_HEAD_START = 0.5
_UNTRIED_S = 30.0


class State(enum.Enum):
    """Whether a worker may get work."""

    IN_SERVICE = "in_service"
    EJECTED = "ejected"
    PROBATION = "probation"


class Rotation(enum.Enum):
    """As what an ingress offers a request to a worker."""

    IN = "in"
    TRIAL = "trial"
    FLOOR = "floor"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request that the worker runs now."""

    started: float
    trial: bool
    applied: int = 0


class WorkerHealth:
    """Judges one worker and decides on its ejection and return."""

    def __init__(
        self,
        detector: health.Detector,
        rules: probation.Rules,
        now: float,
        cold_start_s: float = 0.0,
    ):
        """Starts in service, cold.

        Args:
            detector: Judges outcomes.
            rules: The team's rules for return.
            now: Monotonic time, in s.
            cold_start_s: How long the worker is slow after its start, in s.
        """
        self._detector = detector
        self._penalty = probation.Penalty(rules)
        self._cold_start_s = cold_start_s
        self._state = State.IN_SERVICE
        self._since = now
        self._until = 0.0
        self._warm_at = now + cold_start_s
        self._ramp_start = now if cold_start_s else float("-inf")
        self._good_trials = 0
        self._next_trial = 0.0
        self._tried_at = now
        self._length_s = 0.0
        self._trial_running = False
        self._runs: list[Run] = []
        self._pending: health.Evidence | None = None
        self._pending_since = now
        self._evidence: health.Evidence | None = None
        self.reference = health.Reference()
        self.history = digest.History()
        self.on_change: Callable[[], None] | None = None

    @property
    def state(self) -> State:
        """Whether the worker may get work."""
        return self._state

    @property
    def ejected(self) -> bool:
        """Whether it gets no work but trials."""
        return self._state is not State.IN_SERVICE

    @property
    def since(self) -> float:
        """Monotonic time at which the state began, in s."""
        return self._since

    @property
    def evidence(self) -> health.Evidence | None:
        """Why it was ejected last."""
        return self._evidence

    @property
    def pending(self) -> health.Evidence | None:
        """Evidence that waits for a comparison with other workers."""
        return self._pending

    @property
    def penalty(self) -> probation.Penalty:
        """What past ejections cost."""
        return self._penalty

    def describe(self) -> str:
        """Returns why it is ejected, in words; empty if it isn't."""
        evidence = self._evidence
        if not self.ejected or evidence is None:
            return ""
        return (
            f"{evidence.reason.value} in {evidence.bad} of"
            f" {evidence.outcomes} requests"
        )

    def configure(
        self, detector: health.Detector, rules: probation.Rules
    ) -> None:
        """Takes changed settings; state and penalty stay."""
        self._detector = detector
        self._penalty.rules = rules
        self._pending = None

    def weight(self, now: float) -> float:
        """Returns its share of traffic relative to a full worker, to 1."""
        ramp_s = self._penalty.rules.ramp_s
        age = now - self._ramp_start
        if ramp_s <= 0 or age >= ramp_s:
            return 1.0
        return _WEIGHT_START + (1 - _WEIGHT_START) * max(0.0, age) / ramp_s

    def trial_in(self, now: float) -> float:
        """Returns the time until a trial is welcome, in s."""
        if self._state is State.EJECTED:
            return max(0.0, self._until - now)
        return max(0.0, self._next_trial - now)

    def admits(self, rotation: Rotation, idempotent: bool, now: float) -> bool:
        """Tells whether the worker takes an offered request.

        Args:
            rotation: As what the ingress offers it.
            idempotent: Whether the request is.
            now: Monotonic time, in s.
        """
        if not self.ejected or rotation is Rotation.FLOOR:
            return True
        if rotation is Rotation.IN or not idempotent:
            return False
        return self.trial_in(now) <= 0 and not self._trial_running

    def started(self, now: float) -> Run:
        """Counts a request that starts to run."""
        if self._state is State.EJECTED and now >= self._until:
            self._enter(State.PROBATION, now)
            self._good_trials = 0
        run = Run(now, self._state is State.PROBATION)
        if run.trial:
            self._trial_running = True
            self._next_trial = now + TRIAL_INTERVAL_S
            self._tried_at = now
        self._runs.append(run)
        return run

    def finished(self, run: Run, kind: health.Kind, now: float) -> None:
        """Counts a request that ended.

        Args:
            run: What `started` returned.
            kind: What became of it.
            now: Monotonic time, in s.
        """
        if run in self._runs:
            self._runs.remove(run)
        outcome = health.Outcome(kind, now - run.started, run.applied)
        reference = self._expected(now)
        usual = not self.ejected and now >= self._warm_at
        self.history.record(outcome, reference, now, usual)
        if run.trial:
            self._trial_running = False
            self._on_trial(outcome, now)
            return
        if self._state is State.IN_SERVICE:
            self._suspect(self._detector.record(outcome, reference, now), now)

    def abandoned(self, run: Run) -> None:
        """Forgets a request whose outcome says nothing of the worker."""
        if run in self._runs:
            self._runs.remove(run)
        if run.trial:
            self._trial_running = False

    def tick(self, now: float) -> None:
        """Counts the age of requests in flight; call it often."""
        if self.ejected and now >= self._lapses_at():
            self._return(now)
        reference = self._expected(now)
        for run in self._runs:
            level = health.latency_level(now - run.started, reference.latency_s)
            if level <= run.applied:
                continue
            if run.trial and level >= _TRIAL_LEVEL_LIMIT:
                run.applied = level
                self._fail_trial(now)
            elif self._state is State.IN_SERVICE and not run.trial:
                evidence = self._detector.overdue(
                    run.applied, level, reference, now
                )
                run.applied = level
                self._suspect(evidence, now)

    def probe_failed(self, now: float) -> None:
        """Counts a failed probe; it can only add to real evidence."""
        if self._state is State.IN_SERVICE:
            self._suspect(self._detector.probe_failed(now), now)

    def counts(self, start: float, level: int) -> comparison.Counts:
        """Counts outcomes, and requests in flight that are bad already.

        Args:
            start: Monotonic time from which on to count, in s.
            level: Latency level from which on a request is bad; 0 for none.
        """
        found = self.history.since(start, level)
        if level:
            overdue = sum(run.applied >= level for run in self._runs)
            found.add(comparison.Counts(overdue, overdue))
        return found

    def decide(self, others: comparison.Counts, now: float) -> bool:
        """Ends a comparison with other workers of the service.

        Args:
            others: Their outcomes since the pending evidence began.
            now: Monotonic time, in s.

        Returns:
            True if the worker is ejected by it.
        """
        evidence = self._pending
        if evidence is None or self._state is not State.IN_SERVICE:
            return False
        own = self.counts(evidence.since, evidence.level)
        unknown = others.outcomes == 0
        waited = now - self._pending_since >= _COMPARE_LIMIT_S
        shared = comparison.is_shared(evidence, own, others)
        if shared and not (unknown and waited):
            return False
        self._eject(evidence, now)
        return True

    def restarted(self, now: float) -> None:
        """Takes the worker for a new process with a cold start."""
        self._warm_at = now + self._cold_start_s
        self._ramp_start = now

    def _expected(self, now: float) -> health.Reference:
        if now >= self._warm_at or self._cold_start_s <= 0:
            return self.reference
        left = (self._warm_at - now) / self._cold_start_s
        factor = 1.0 + (_COLD_FACTOR - 1.0) * left
        return dataclasses.replace(
            self.reference, latency_s=self.reference.latency_s * factor
        )

    def _suspect(self, evidence: health.Evidence | None, now: float) -> None:
        if evidence is None:
            self._pending = None
            return
        if not self._detector.compares:
            self._eject(evidence, now)
            return
        if self._pending is None:
            self._pending_since = now
        self._pending = evidence

    def _enter(self, state: State, now: float) -> None:
        self._state = state
        self._since = now
        if self.on_change is not None:
            self.on_change()

    def _eject(self, evidence: health.Evidence, now: float) -> None:
        self._evidence = evidence
        self._pending = None
        self._begin_ejection(now)

    def _begin_ejection(self, now: float) -> None:
        self._penalty.add(now)
        self._length_s = self._penalty.ejection_s(now)
        self._until = now + self._length_s
        self._enter(State.EJECTED, now)

    def _on_trial(self, outcome: health.Outcome, now: float) -> None:
        if self._state is not State.PROBATION:
            return
        level = health.latency_level(
            outcome.latency_s, self.reference.latency_s
        )
        failed = outcome.kind is not health.Kind.ANSWERED
        if failed or level >= _TRIAL_LEVEL_LIMIT:
            self._fail_trial(now)
            return
        self._good_trials += 1
        if self._good_trials < self._penalty.trials(now):
            return
        self._return(now)

    def _return(self, now: float) -> None:
        self._detector.reset(_HEAD_START)
        self._ramp_start = now
        self._enter(State.IN_SERVICE, now)

    def _lapses_at(self) -> float:
        """Returns when an ejection ends for want of trial requests."""
        last = max(self._until, self._tried_at)
        return last + max(_UNTRIED_S, self._length_s)

    def _fail_trial(self, now: float) -> None:
        if self._state is not State.PROBATION:
            return
        self._begin_ejection(now)
