"""Simulates admission control, fairness, overload and retry budgets.

Workers with the node's admission control receive open-loop load in simulated
time. A caller is modelled by its deadline and its maximum number of attempts.
The results depend only on the seeds; there is no network and no real time.
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

_SLOTS_PER_WORKER = 3
_MEAN_SERVICE_TIME_S = 0.025
_REQUEST_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class Phase:
    """A period of constant load.

    Attributes:
        duration_s: Length in s.
        load: Offered load as a share of the capacity.
        hot_factor: Load of organisation 0 as a multiple of the load of each
            other organisation.
        error_share: Share of requests that fail after they ran, 0 to 1.
    """

    duration_s: float
    load: float
    hot_factor: float = 1.0
    error_share: float = 0.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request and its result.

    Attributes:
        organisation: Organisation of the caller.
        priority: 0 or 1, by the number of the organisation. It has no effect:
            admission control gets priority 0 for every request.
        arrived_at: Simulated time of arrival, in s.
        attempts: Number of attempts so far.
        finished_at: Simulated time at which the last attempt ended, in s.
        answered: Whether it was answered before its deadline.
        code: Code of the last refusal or failure; None if there was none.
    """

    organisation: str
    priority: int
    arrived_at: float
    attempts: int = 0
    finished_at: float = 0.0
    answered: bool = False
    code: codes.Code | None = None


class Simulation:
    """Discrete-event simulation of callers and the workers of one service.

    Attributes:
        now: Simulated time, in s.
        requests: All requests in order of arrival.
        attempts: Number of attempts of all requests.
        capacity: Requests per second that all slots together can serve.
    """

    def __init__(
        self,
        workers: int,
        organisations: int,
        seed: int,
        has_queue: bool = True,
        has_budget: bool = True,
    ):
        """Creates idle workers and an empty event queue.

        Args:
            workers: Number of workers.
            organisations: Number of organisations that send requests.
            seed: Seed of arrivals, service times and failures.
            has_queue: Whether workers queue requests when all slots are taken;
                otherwise they refuse them.
            has_budget: Whether retries are limited by a retry budget.
        """
        self._rng = random.Random(seed)
        self.now = 0.0
        self._events: list = []
        self._event_numbers = itertools.count()
        self._workers = [
            admission.Admission(_SLOTS_PER_WORKER, bytes([n]))
            for n in range(workers)
        ]
        self._organisations = organisations
        self._budget = retries.RetryBudget()
        self._has_queue = has_queue
        self._has_budget = has_budget
        self._error_share = 0.0
        self.requests: list[Request] = []
        self.attempts = 0
        self.capacity = workers * _SLOTS_PER_WORKER / _MEAN_SERVICE_TIME_S

    def schedule(self, time: float, callback, *arguments) -> None:
        """Schedules a call at a simulated time in s."""
        heapq.heappush(
            self._events, (time, next(self._event_numbers), callback, arguments)
        )

    def run(self, phases: list[Phase]) -> None:
        """Runs all phases and then all events that remain."""
        phase_start = 0.0
        for phase in phases:
            self.schedule(phase_start, self._start_phase, phase)
            arrives_at = phase_start
            rate = phase.load * self.capacity
            while (arrives_at := arrives_at + self._rng.expovariate(rate)) < (
                phase_start + phase.duration_s
            ):
                self.schedule(arrives_at, self._arrive, phase)
            phase_start += phase.duration_s
        while self._events:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)

    def _start_phase(self, phase: Phase) -> None:
        self._error_share = phase.error_share

    def _arrive(self, phase: Phase) -> None:
        count = self._organisations
        # Organisation 0 sends `hot_factor` times as much as each other one.
        drawn = self._rng.random() * (count - 1 + phase.hot_factor)
        number = (
            0 if drawn < phase.hot_factor else 1 + int(drawn - phase.hot_factor)
        )
        request = Request(f"org-{number}", number % 2, self.now)
        self.requests.append(request)
        self._attempt(request, set())

    def _attempt(self, request: Request, tried: set[int]) -> None:
        request.attempts += 1
        self.attempts += 1
        untried = [n for n in range(len(self._workers)) if n not in tried]
        chosen = min(
            self._rng.sample(untried, min(2, len(untried))),
            key=lambda n: self._workers[n].in_flight + self._workers[n].queued,
        )
        tried.add(chosen)
        worker = self._workers[chosen]
        deadline = request.arrived_at + _REQUEST_TIMEOUT_S
        is_rejected = (
            not self._has_queue and worker.in_flight >= _SLOTS_PER_WORKER
        )
        if is_rejected:
            self._on_failure(request, tried, codes.Code.QUEUE_FULL)
            return
        waiter = worker.request(request.organisation, 0, deadline, self.now)

        def on_decision() -> None:
            if waiter.decision is admission.Decision.GRANTED:
                self._serve(request, worker, waiter, tried)
            else:
                self._on_failure(request, tried, waiter.code)

        if waiter.decision is admission.Decision.WAITING:
            waiter.on_decision = on_decision
            wait_s = min(worker.wait_limit_s(self.now), deadline - self.now)
            self.schedule(
                self.now + wait_s, self._time_out_waiter, worker, waiter
            )
        else:
            on_decision()

    def _time_out_waiter(self, worker, waiter) -> None:
        worker.time_out(waiter, self.now)

    def _serve(self, request, worker, waiter, tried) -> None:
        service_s = self._rng.lognormvariate(0.0, 0.5)
        # 1.1331 is exp(0.5**2 / 2), the mean of the drawn distribution.
        service_s *= _MEAN_SERVICE_TIME_S / 1.1331
        self.schedule(
            self.now + service_s,
            self._on_served,
            request,
            worker,
            waiter,
            tried,
        )

    def _on_served(self, request, worker, waiter, tried) -> None:
        worker.release(waiter, self.now)
        if self._rng.random() < self._error_share:
            self._on_failure(request, tried, codes.Code.TARGET_CONNECTION_LOST)
            return
        self._budget.deposit()
        request.finished_at = self.now
        request.answered = self.now <= request.arrived_at + _REQUEST_TIMEOUT_S

    def _on_failure(self, request, tried, code) -> None:
        request.code = code
        request.finished_at = self.now
        may_retry = (
            request.attempts < _MAX_ATTEMPTS
            and len(tried) < len(self._workers)
            and self.now < request.arrived_at + _REQUEST_TIMEOUT_S
            and code is not codes.Code.ORGANISATION_OVER_SHARE
        )
        if may_retry and (not self._has_budget or self._budget.withdraw()):
            self._attempt(request, tried)


def _latency_quantile_ms(requests: list[Request], fraction: float) -> float:
    latencies_s = sorted(r.finished_at - r.arrived_at for r in requests)
    return 1000 * latencies_s[int(fraction * (len(latencies_s) - 1))]


def _answered_of_others(simulation: Simulation) -> list[Request]:
    return [
        r
        for r in simulation.requests
        if r.organisation != "org-0" and r.answered
    ]


def fairness(seed: int, workers: int, load: float) -> None:
    """Measures how one organisation's excess load affects the others.

    Compares the latency of 19 organisations with equal load to their latency
    while the 20th sends ten times as much as each of them.
    """
    print(f"fairness: seed {seed}, {workers} workers, base load {load}")
    organisations = 20
    p99s_ms = []
    # The load of the others stays the same; organisation 0 adds to it.
    hot_load = load * (organisations - 1 + 10) / organisations
    for hot_factor, total_load in ((1.0, load), (10.0, hot_load)):
        simulation = Simulation(workers, organisations, seed)
        simulation.run([Phase(60.0, total_load, hot_factor)])
        answered = _answered_of_others(simulation)
        all_others = [
            r for r in simulation.requests if r.organisation != "org-0"
        ]
        p99s_ms.append(_latency_quantile_ms(answered, 0.99))
        print(
            f"  hog x{hot_factor:.0f} load {total_load:.2f}: others answered "
            f"{len(answered) / len(all_others):.4f} p50 "
            f"{_latency_quantile_ms(answered, 0.5):.1f} "
            f"p99 {p99s_ms[-1]:.1f} ms"
        )
        counts_by_code = collections.Counter(
            r.code.name.lower() for r in all_others if not r.answered
        )
        print(f"  refused of others: {dict(counts_by_code)}")
    print(f"  p99 ratio {p99s_ms[1] / p99s_ms[0]:.2f} (target <= 1.5)")


def overload(seed: int, workers: int, has_queue: bool) -> None:
    """Measures goodput at twice the capacity, and latency before and after."""
    name = "queue" if has_queue else "no queue"
    simulation = Simulation(workers, 20, seed, has_queue=has_queue)
    simulation.run([Phase(20.0, 0.6), Phase(20.0, 2.0), Phase(20.0, 0.6)])
    during = [r for r in simulation.requests if 21 <= r.arrived_at < 40]
    goodput = sum(r.answered for r in during) / 19 / simulation.capacity
    before = [
        r for r in simulation.requests if r.arrived_at < 20 and r.answered
    ]
    after = [
        r for r in simulation.requests if r.arrived_at >= 42 and r.answered
    ]
    refused = [r for r in during if not r.answered]
    print(
        f"overload: seed {seed}, {workers} workers, {name}: goodput "
        f"{goodput:.3f} of capacity (target > 0.9); refused after p99 "
        f"{_latency_quantile_ms(refused, 0.99):.1f} ms; p99 before "
        f"{_latency_quantile_ms(before, 0.99):.1f} ms, from 2 s after the end "
        f"{_latency_quantile_ms(after, 0.99):.1f} ms; answered after "
        f"{sum(r.answered for r in simulation.requests if r.arrived_at >= 42)}"
        f"/{sum(r.arrived_at >= 42 for r in simulation.requests)}; attempts "
        f"{simulation.attempts / len(simulation.requests):.3f} per request"
    )


def storm(seed: int, workers: int, has_budget: bool) -> None:
    """Measures retries while half of the requests and then all of them fail."""
    name = "budget" if has_budget else "no budget"
    simulation = Simulation(workers, 20, seed, has_budget=has_budget)
    simulation.run(
        [
            Phase(10.0, 0.6),
            Phase(10.0, 0.6, error_share=0.5),
            Phase(10.0, 0.6, error_share=1.0),
            Phase(10.0, 0.6),
        ]
    )
    attempts_by_phase = []
    for start in (0, 10, 20, 30):
        requests = [
            r for r in simulation.requests if start <= r.arrived_at < start + 10
        ]
        attempts_by_phase.append(
            f"{sum(r.attempts for r in requests) / len(requests):.3f}"
        )
    print(
        f"storm: seed {seed}, {name}: attempts per request "
        f"{simulation.attempts / len(simulation.requests):.3f} (target <= "
        f"1.2), by phase {' '.join(attempts_by_phase)}"
    )


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
) -> None:
    """Prints the results that docs/design/limits.rst reports."""
    for seed in range(seeds):
        for workers, load in ((6, 0.5), (6, 0.7), (20, 0.7)):
            fairness(seed, workers, load)
        for has_queue in (True, False):
            overload(seed, 6, has_queue)
        overload(seed, 20, True)
        for has_budget in (True, False):
            storm(seed, 20, has_budget)


if __name__ == "__main__":
    typer.run(main)
