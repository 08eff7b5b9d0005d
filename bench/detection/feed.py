"""Feeds drawn outcomes to detectors and pickers on a virtual clock."""

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

SLOTS = 3
FLOORS = {20: 12, 6: 4, 14: 9, 8: 6}
_INGRESSES = 3
_DOMAINS = 3
_TICK_S = 0.05
_REFRESH_S = 5.0
_COMPARE_S = 0.1
_ATTEMPTS = 3
_COLD_START_S = 10.0
_IDEMPOTENT_SHARE = 0.8

DETECTORS: dict[str, Callable[[], health.Detector]] = {
    "agora": lambda: sequential.SequentialDetector(1.0),
    "lone star": lambda: sequential.SequentialDetector(0.0),
    "five errors": consecutive.ConsecutiveDetector,
    "10 s window": window.WindowDetector,
}


class VirtualClock(clock.Clock):
    """A clock that the feed sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def monotonic(self) -> float:
        """See base class."""
        return self.time

    def now(self) -> datetime.datetime:
        """See base class."""
        return datetime.datetime.fromtimestamp(self.time, datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """See base class; nothing in a feed sleeps."""
        raise NotImplementedError


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """One run of the grid."""

    kind: str
    detector: str
    pool: int
    load: float
    seed: int


@dataclasses.dataclass(slots=True)
class Verdict:
    """What one run showed.

    Attributes:
        case: The run.
        seconds: First bad outcome to ejection, in s; None if not ejected.
        outcomes: The target's outcomes in that time.
        false_ejections: Ejections of healthy targets.
        healthy_outcomes: Outcomes of healthy targets.
        late_work: Requests run by an ejected target, but for trials and
            what the floor kept.
        shares: The gray target's share of traffic relative to a fair one,
            by successive cycles of flapping.
        least_rotation: Least number of targets in rotation in any view.
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
class _Running:
    worker: str
    ingress: int
    token: float
    run: worker_health.RunningRequest
    kind: health.OutcomeKind
    bad: bool


class Feed:
    """One service, its targets' health, and a few ingresses."""

    def __init__(self, case: Case, cycles: int = 0):
        """Prepares a run.

        Args:
            case: What to run.
            cycles: For a flapping target, whole cycles to observe; 0 ends at
                the first ejection.
        """
        self._case = case
        self._kind = faults.KINDS[case.kind]
        self._cycles = cycles
        self._clock = VirtualClock()
        self._rng = random.Random(repr(case))
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._busy = dict.fromkeys((f"w{n}" for n in range(case.pool)), 0)
        self._targets = [
            table.Target(
                name, "service", f"n-{name}", False, f"d{n % _DOMAINS}"
            )
            for n, name in enumerate(self._busy)
        ]
        self._health = {name: self._judge() for name in self._busy}
        self._verdict = Verdict(case, least_rotation=case.pool)
        self._first_bad: float | None = None
        self._ejected_before: set[str] = set()
        self._compared_at = dict.fromkeys(self._busy, 0.0)
        self._counts: dict[int, tuple[int, int]] = {}
        self._pickers = [self._picker(n) for n in range(_INGRESSES)]

    def _judge(self) -> worker_health.WorkerHealth:
        return worker_health.WorkerHealth(
            DETECTORS[self._case.detector](),
            probation.ReadmissionRules(),
            0.0,
            _COLD_START_S,
        )

    def _picker(self, number: int) -> twochoices.TwoChoicesPicker:
        place = tracking.Location(f"i{number}", f"d{number}")
        floor = FLOORS[self._case.pool]
        rng = random.Random(f"{self._case!r} {number}")
        return twochoices.TwoChoicesPicker(
            rng, self._clock, place, lambda service: floor
        )

    def run(self) -> Verdict:
        """Runs until the first ejection or the end."""
        end = faults.START_S + self._kind.length_s
        if self._cycles:
            end = faults.START_S + self._cycles * 2 * self._kind.flap_s
        self._push(0.0, self._arrive)
        self._push(0.0, self._tick)
        self._push(0.5, self._refresh)
        if self._kind.cold:
            self._push(faults.START_S, self._restart)
        while self._events:
            time, _, call, argument = heapq.heappop(self._events)
            if time > end or self._is_decided():
                break
            self._clock.time = time
            call(argument) if argument is not None else call()
        self._verdict.shares = self._shares()
        return self._verdict

    def _is_decided(self) -> bool:
        if self._cycles or self._kind.healthy:
            return False
        return self._verdict.seconds is not None

    def _shares(self) -> list[float]:
        return [
            gray * self._case.pool / max(1, total)
            for _, (gray, total) in sorted(self._counts.items())
        ]

    def _push(self, time: float, call: Callable, argument=None) -> None:
        entry = (time, next(self._order), call, argument)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        now = self._clock.time
        rate = self._case.load * self._case.pool
        self._push(now + self._rng.expovariate(rate), self._arrive)
        ingress = self._rng.randrange(_INGRESSES)
        idempotent = self._rng.random() < _IDEMPOTENT_SHARE
        tried: set[str] = set()
        for _ in range(_ATTEMPTS):
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
        judged = self._health[name]
        admitted = judged.admits(choice.rotation, idempotent, now)
        if not admitted or self._busy[name] >= SLOTS:
            self._refuse(ingress, choice.target)
            return False
        if judged.ejected and choice.rotation is worker_health.Rotation.IN:
            self._verdict.late_work += 1
        self._start(ingress, choice.target)
        return True

    def _refuse(self, ingress: int, target: table.Target) -> None:
        now = self._clock.time
        picker = self._pickers[ingress]
        token = picker.request_started(target)
        report = self._report(target.worker)
        picker.request_finished(target, token, views.Feedback(now, report))

    def _start(self, ingress: int, target: table.Target) -> None:
        now = self._clock.time
        name = target.worker
        self._count(name)
        drawn = faults.effect(self._kind, name, now, self._rng)
        kind = (
            health.OutcomeKind.ERROR
            if drawn.error
            else health.OutcomeKind.ANSWERED
        )
        latency_s = drawn.latency_s
        if latency_s > faults.TIMEOUT_S:
            latency_s = faults.TIMEOUT_S
            kind = health.OutcomeKind.TIMEOUT
        self._busy[name] += 1
        token = self._pickers[ingress].request_started(target)
        run = self._health[name].request_started(now)
        if self._kind.hangs and drawn.bad:
            self._bad_outcome(now)
        running = _Running(name, ingress, token, run, kind, drawn.bad)
        self._push(now + latency_s, self._finish, running)

    def _count(self, name: str) -> None:
        if not self._kind.flap_s or self._clock.time < faults.START_S:
            return
        age = self._clock.time - faults.START_S
        cycle = int(age / (2 * self._kind.flap_s))
        gray, total = self._counts.get(cycle, (0, 0))
        self._counts[cycle] = (gray + (name == faults.GRAY), total + 1)

    def _finish(self, running: _Running) -> None:
        now = self._clock.time
        name = running.worker
        self._busy[name] -= 1
        if self._is_gray(name):
            if running.bad and not self._kind.hangs:
                self._bad_outcome(now)
            elif self._first_bad is not None:
                self._verdict.outcomes += not self._kind.hangs
        else:
            self._verdict.healthy_outcomes += 1
        self._health[name].request_finished(running.run, running.kind, now)
        self._settle(name)
        picker = self._pickers[running.ingress]
        target = self._targets[int(name[1:])]
        feedback = views.Feedback(now, self._report(name))
        picker.request_finished(target, running.token, feedback)

    def _is_gray(self, name: str) -> bool:
        return name == faults.GRAY and not self._kind.healthy

    def _bad_outcome(self, now: float) -> None:
        if self._first_bad is None:
            self._first_bad = now
        if self._verdict.seconds is None:
            self._verdict.outcomes += 1

    def _report(self, name: str) -> views.Report:
        now = self._clock.time
        judged = self._health[name]
        return views.Report(
            judged.ejected,
            judged.weight(now),
            judged.trial_delay_s(now),
            self._busy[name],
        )

    def _settle(self, name: str) -> None:
        """Compares a suspect with the others, and notes an ejection."""
        now = self._clock.time
        judged = self._health[name]
        waiting = judged.pending_evidence is not None
        if waiting and now - self._compared_at[name] >= _COMPARE_S:
            self._compared_at[name] = now
            others = comparison.OutcomeCounts()
            evidence = judged.pending_evidence
            for other, found in self._health.items():
                if other != name and not found.ejected:
                    others.add(
                        found.count_since(evidence.since, evidence.slow_level)
                    )
            judged.conclude_comparison(others, now)
        if not judged.ejected:
            self._ejected_before.discard(name)
            return
        if name in self._ejected_before:
            return
        self._ejected_before.add(name)
        if not self._is_gray(name):
            self._verdict.false_ejections += 1
        elif self._verdict.seconds is None and self._first_bad is not None:
            self._verdict.seconds = now - self._first_bad

    def _tick(self) -> None:
        now = self._clock.time
        self._push(now + _TICK_S, self._tick)
        for name, judged in self._health.items():
            judged.tick(now)
            if judged.pending_evidence is not None or judged.ejected:
                self._settle(name)
        for picker in self._pickers:
            out = len(picker.split_rotation(self._targets).out)
            self._verdict.least_rotation = min(
                self._verdict.least_rotation, len(self._targets) - out
            )

    def _restart(self) -> None:
        self._health[faults.GRAY].worker_restarted(self._clock.time)

    def _refresh(self) -> None:
        now = self._clock.time
        self._push(now + _REFRESH_S, self._refresh)
        digests = {n: h.history.digest() for n, h in self._health.items()}
        for name, judged in self._health.items():
            others = [d for n, d in digests.items() if n != name]
            judged.reference = digest.combine(others)
