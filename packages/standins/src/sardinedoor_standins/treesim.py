"""Simulated load on a service that calls a smaller one, in virtual time.

The queues, the call trees and the refusals are the product's own. Workers, links and
callers are plain objects on one heap of events, without a network.
"""

from __future__ import annotations

import collections
from collections.abc import Generator
import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from sardinedoor_node.admission import calltree
from sardinedoor_node.limits import admission

if TYPE_CHECKING:
    from collections.abc import Callable

_BOTTOM = "intake"
_ASKED_OWNERS = 4
_ROOT_PATIENCE_S = 1.5
_CALL_PATIENCE_S = 2.1


@dataclasses.dataclass(slots=True)
class Tally:
    """What the callers of one route got.

    Attributes:
        asked: Number of requests.
        served: Answered with success.
        failed: Failed after they had begun to run.
        refused: Refused as not run.
        refused_late: Refused after a wait.
    """

    asked: int = 0
    served: int = 0
    failed: int = 0
    refused: int = 0
    refused_late: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served / max(1, self.asked)


@dataclasses.dataclass(slots=True)
class Plan:
    """The load.

    Attributes:
        lodge_rate: Requests per second whose runs make two calls.
        upload_rate: Requests per second at the service that is called.
        call_s: Mean time of a call, in s.
        upload_s: Mean time of an upload, in s.
        knows_calls: Whether calls go before other requests, and requests are
            refused for what they will call.
    """

    lodge_rate: float
    upload_rate: float
    call_s: float = 0.25
    upload_s: float = 1.2
    knows_calls: bool = True


class _Worker:
    """A worker with the queue in front of its slots."""

    def __init__(self, slots: int):
        self.queue = admission.Admission(slots, b"x" * 16, 1.0)
        self.calls = calltree.CallTree()


class TreeSimulation:
    """Two services, of which the larger calls the smaller twice a run."""

    def __init__(self, plan: Plan, rng: random.Random):
        """Creates idle workers.

        Args:
            plan: The load.
            rng: Source of all random choices.
        """
        self._plan = plan
        self._rng = rng
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._top = [_Worker(6) for _ in range(47)]
        self._bottom = [_Worker(6) for _ in range(6)]
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.useful_s = 0.0

    def run(self, seconds: float, warm_up_s: float) -> None:
        """Plays the load; what began in the warm-up isn't counted.

        Args:
            seconds: Length of the play, in s.
            warm_up_s: Length of the warm-up within it, in s.
        """
        for route, rate in (
            ("lodge", self._plan.lodge_rate),
            ("upload", self._plan.upload_rate),
        ):
            at = self._rng.expovariate(rate)
            while at < seconds:
                task = self._lodge if route == "lodge" else self._upload
                self._at(at, lambda task=task: self._start(task()))
                at += self._rng.expovariate(rate)
        while self._events and self._events[0][0] < seconds:
            self.now, _, callback = heapq.heappop(self._events)
            if self.now >= warm_up_s > 0:
                warm_up_s = 0.0
                self.tallies.clear()
                self.useful_s = 0.0
            callback()

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._count), callback))

    def _start(self, task: Generator) -> None:
        """Runs a task, which yields times to wait or waiters to wait for."""
        try:
            step = next(task)
        except StopIteration:
            return
        if isinstance(step, float):
            self._at(self.now + step, lambda: self._start(task))
            return
        step.on_decision = lambda: self._at(self.now, lambda: self._start(task))

    def _acquire(
        self, worker: _Worker, patience_s: float, nested: bool
    ) -> Generator:
        started_at = self.now
        waiter = worker.queue.request(
            "a",
            5,
            started_at + 10.0,
            started_at,
            patience_s,
            nested and self._plan.knows_calls,
        )
        if waiter.decision is admission.Decision.WAITING:
            self._at(
                started_at + patience_s,
                lambda: worker.queue.time_out(waiter, self.now),
            )
            yield waiter
        return waiter if waiter.code is None else None

    def _work_s(self, mean_s: float) -> float:
        return self._rng.lognormvariate(0, 0.4) * mean_s / 1.083

    def _lodge(self) -> Generator:
        tally = self.tallies["lodge"]
        tally.asked += 1
        started_at = self.now
        worker = min(
            self._rng.sample(self._top, 2), key=lambda w: w.queue.in_flight
        )
        share = worker.calls.refusal_share("lodge", self.now)
        if self._plan.knows_calls and self._rng.random() < share:
            tally.refused += 1
            return
        waiter = yield from self._acquire(worker, _ROOT_PATIENCE_S, False)
        if waiter is None:
            tally.refused += 1
            tally.refused_late += self.now > started_at
            return
        run_id = str(next(self._count)).encode()
        worker.calls.run_started(run_id, "lodge")
        good = True
        for _ in range(2):
            yield self._work_s(0.25)
            good = yield from self._call(worker)
            if not good:
                break
        worker.calls.run_ended(run_id)
        worker.queue.release(waiter, self.now)
        if good:
            tally.served += 1
        else:
            tally.failed += 1

    def _call(self, caller: _Worker) -> Generator:
        caller.calls.call_started(_BOTTOM)
        asked_at = self.now
        worker = min(
            self._rng.sample(self._bottom, _ASKED_OWNERS),
            key=lambda w: w.queue.expected_wait_s(self.now),
        )
        waiter = yield from self._acquire(worker, _CALL_PATIENCE_S, True)
        wait_s = _CALL_PATIENCE_S if waiter is None else self.now - asked_at
        caller.calls.report_wait(_BOTTOM, wait_s, _CALL_PATIENCE_S, self.now)
        if waiter is None:
            return False
        began_at = self.now
        yield self._work_s(self._plan.call_s)
        worker.queue.release(waiter, self.now)
        self.useful_s += self.now - began_at
        return True

    def _upload(self) -> Generator:
        tally = self.tallies["upload"]
        tally.asked += 1
        started_at = self.now
        worker = min(
            self._rng.sample(self._bottom, _ASKED_OWNERS),
            key=lambda w: w.queue.expected_wait_s(self.now),
        )
        waiter = yield from self._acquire(worker, _ROOT_PATIENCE_S, False)
        if waiter is None:
            tally.refused += 1
            tally.refused_late += self.now > started_at
            return
        began_at = self.now
        yield self._work_s(self._plan.upload_s)
        worker.queue.release(waiter, self.now)
        self.useful_s += self.now - began_at
        tally.served += 1
