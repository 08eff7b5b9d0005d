"""Admission, fairness, overload and retries, on a virtual clock.

A service of workers, each with the admission of the daemon, gets open load.
Callers are modelled by their deadline and by how often they try again. All
figures come from the seeds given; no network and no real time is involved.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from typing import Annotated

import typer

from sardinedoor_node.limits import admission
from sardinedoor_node.limits import retries
from sardinedoor_schema import codes

_SLOTS = 3
_MEAN_SERVICE_S = 0.025
_DEADLINE_S = 1.0
_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class Phase:
    """Load during a time.

    Attributes:
        seconds: How long, in s.
        load: Offered work as a share of the capacity.
        hog: Load of one organisation as a multiple of its fair share.
        failing: Share of requests that fail after they ran.
    """

    seconds: float
    load: float
    hog: float = 1.0
    failing: float = 0.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request and what became of it."""

    organisation: str
    priority: int
    arrived: float
    attempts: int = 0
    finished: float = 0.0
    answered: bool = False
    code: codes.Code | None = None


class Simulation:
    """Events in order of virtual time."""

    def __init__(
        self,
        workers: int,
        organisations: int,
        seed: int,
        queued: bool = True,
        budgeted: bool = True,
    ):
        self._rng = random.Random(seed)
        self.now = 0.0
        self._events: list = []
        self._numbers = itertools.count()
        self._workers = [
            admission.Admission(_SLOTS, bytes([n])) for n in range(workers)
        ]
        self._organisations = organisations
        self._budget = retries.RetryBudget()
        self._queued = queued
        self._budgeted = budgeted
        self._failing = 0.0
        self.requests: list[Request] = []
        self.attempts = 0
        self.capacity = workers * _SLOTS / _MEAN_SERVICE_S

    def at(self, when: float, call, *arguments) -> None:
        """Schedules a call."""
        heapq.heappush(
            self._events, (when, next(self._numbers), call, arguments)
        )

    def run(self, phases: list[Phase]) -> None:
        """Runs all phases, and then until nothing is left to do."""
        start = 0.0
        for phase in phases:
            self.at(start, self._begin, phase)
            when = start
            rate = phase.load * self.capacity
            while (when := when + self._rng.expovariate(rate)) < (
                start + phase.seconds
            ):
                self.at(when, self._arrive, phase)
            start += phase.seconds
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _begin(self, phase: Phase) -> None:
        self._failing = phase.failing

    def _arrive(self, phase: Phase) -> None:
        count = self._organisations
        # Organisation 0 has `hog` times the weight of each other one.
        pick = self._rng.random() * (count - 1 + phase.hog)
        number = 0 if pick < phase.hog else 1 + int(pick - phase.hog)
        request = Request(f"org-{number}", number % 2, self.now)
        self.requests.append(request)
        self._attempt(request, set())

    def _attempt(self, request: Request, tried: set[int]) -> None:
        request.attempts += 1
        self.attempts += 1
        left = [n for n in range(len(self._workers)) if n not in tried]
        chosen = min(
            self._rng.sample(left, min(2, len(left))),
            key=lambda n: self._workers[n].in_flight + self._workers[n].queued,
        )
        tried.add(chosen)
        worker = self._workers[chosen]
        deadline = request.arrived + _DEADLINE_S
        full = not self._queued and worker.in_flight >= _SLOTS
        if full:
            self._refused(request, tried, codes.Code.QUEUE_FULL)
            return
        waiter = worker.request(request.organisation, 0, deadline, self.now)

        def decided() -> None:
            if waiter.decision is admission.Decision.GRANTED:
                self._serve(request, worker, waiter, tried)
            else:
                self._refused(request, tried, waiter.code)

        if waiter.decision is admission.Decision.WAITING:
            waiter.on_decision = decided
            limit = min(worker.wait_limit_s(self.now), deadline - self.now)
            self.at(self.now + limit, self._give_up, worker, waiter)
        else:
            decided()

    def _give_up(self, worker, waiter) -> None:
        worker.time_out(waiter, self.now)

    def _serve(self, request, worker, waiter, tried) -> None:
        seconds = self._rng.lognormvariate(0.0, 0.5)
        seconds *= _MEAN_SERVICE_S / 1.1331
        self.at(
            self.now + seconds, self._served, request, worker, waiter, tried
        )

    def _served(self, request, worker, waiter, tried) -> None:
        worker.release(waiter, self.now)
        if self._rng.random() < self._failing:
            self._refused(request, tried, codes.Code.TARGET_CONNECTION_LOST)
            return
        self._budget.deposit()
        request.finished = self.now
        request.answered = self.now <= request.arrived + _DEADLINE_S

    def _refused(self, request, tried, code) -> None:
        request.code = code
        request.finished = self.now
        again = (
            request.attempts < _ATTEMPTS
            and len(tried) < len(self._workers)
            and self.now < request.arrived + _DEADLINE_S
            and code is not codes.Code.ORGANISATION_OVER_SHARE
        )
        if again and (not self._budgeted or self._budget.withdraw()):
            self._attempt(request, tried)


def _quantile_ms(requests: list[Request], share: float) -> float:
    times = sorted(r.finished - r.arrived for r in requests)
    return 1000 * times[int(share * (len(times) - 1))]


def _others(simulation: Simulation) -> list[Request]:
    return [
        r
        for r in simulation.requests
        if r.organisation != "org-0" and r.answered
    ]


def fairness(seed: int, workers: int, load: float) -> None:
    """One organisation of twenty sends ten times its share."""
    print(f"fairness: seed {seed}, {workers} workers, base load {load}")
    count = 20
    results = []
    # The others' load stays as it is; the hog's comes on top.
    hogged = load * (count - 1 + 10) / count
    for hog, total in ((1.0, load), (10.0, hogged)):
        simulation = Simulation(workers, count, seed)
        simulation.run([Phase(60.0, total, hog)])
        others = _others(simulation)
        all_others = [
            r for r in simulation.requests if r.organisation != "org-0"
        ]
        results.append(_quantile_ms(others, 0.99))
        print(
            f"  hog x{hog:.0f} load {total:.2f}: others answered "
            f"{len(others) / len(all_others):.4f} p50 "
            f"{_quantile_ms(others, 0.5):.1f} p99 {results[-1]:.1f} ms"
        )
        codes_of = collections.Counter(
            r.code.name.lower() for r in all_others if not r.answered
        )
        print(f"  refused of others: {dict(codes_of)}")
    print(f"  p99 ratio {results[1] / results[0]:.2f} (target <= 1.5)")


def overload(seed: int, workers: int, queued: bool) -> None:
    """Twice the capacity for 20 s, then 60%."""
    name = "queue" if queued else "no queue"
    simulation = Simulation(workers, 20, seed, queued=queued)
    simulation.run([Phase(20.0, 0.6), Phase(20.0, 2.0), Phase(20.0, 0.6)])
    during = [r for r in simulation.requests if 21 <= r.arrived < 40]
    good = sum(r.answered for r in during) / 19 / simulation.capacity
    before = [r for r in simulation.requests if r.arrived < 20 and r.answered]
    after = [r for r in simulation.requests if r.arrived >= 42 and r.answered]
    refused = [r for r in during if not r.answered]
    print(
        f"overload: seed {seed}, {workers} workers, {name}: goodput "
        f"{good:.3f} of capacity (target > 0.9); refused after p99 "
        f"{_quantile_ms(refused, 0.99):.1f} ms; p99 before "
        f"{_quantile_ms(before, 0.99):.1f} ms, from 2 s after the end "
        f"{_quantile_ms(after, 0.99):.1f} ms; answered after "
        f"{sum(r.answered for r in simulation.requests if r.arrived >= 42)}"
        f"/{sum(r.arrived >= 42 for r in simulation.requests)}; attempts "
        f"{simulation.attempts / len(simulation.requests):.3f} per request"
    )


def storm(seed: int, workers: int, budgeted: bool) -> None:
    """Half, then all of the work fails, and then none."""
    name = "budget" if budgeted else "no budget"
    simulation = Simulation(workers, 20, seed, budgeted=budgeted)
    simulation.run(
        [
            Phase(10.0, 0.6),
            Phase(10.0, 0.6, failing=0.5),
            Phase(10.0, 0.6, failing=1.0),
            Phase(10.0, 0.6),
        ]
    )
    rows = []
    for begin in (0, 10, 20, 30):
        part = [
            r for r in simulation.requests if begin <= r.arrived < begin + 10
        ]
        rows.append(f"{sum(r.attempts for r in part) / len(part):.3f}")
    print(
        f"storm: seed {seed}, {name}: attempts per request "
        f"{simulation.attempts / len(simulation.requests):.3f} (target <= "
        f"1.2), by phase {' '.join(rows)}"
    )


def main(
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 3,
) -> None:
    """Prints the figures of docs/design/limits.rst."""
    for seed in range(seeds):
        for workers, load in ((6, 0.5), (6, 0.7), (20, 0.7)):
            fairness(seed, workers, load)
        for queued in (True, False):
            overload(seed, 6, queued)
        overload(seed, 20, True)
        for budgeted in (True, False):
            storm(seed, 20, budgeted)


if __name__ == "__main__":
    typer.run(main)
