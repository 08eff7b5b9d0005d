"""Nodes that stop and targets that drain in random order, while requests wait.

The load is so high that most requests wait for slots. More seeds can be played with
`LEAVING_SEEDS`, a range such as `1-50`.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import logging
import math
import os
import random

import testtools

from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.owner import holds
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import loadsim
from sardinedoor_standins import spelltarget

_SECONDS = 24.0
_WORK_S = 0.4
_OBJECTIVE_S = 8.0
_DEADLINE_S = 12.0
_NOTICE_S = 1.2
_LIMIT_S = 3.0
_RESTART_S = 0.4
# A slot that was held before a stop may still be used, after the delay of a link.
_HOLD_S = holds.LAPSE_MS / 1000 + 0.01


@dataclasses.dataclass(slots=True, eq=False)
class _Ending:
    """How a request ended for its caller; `code` is None while it runs."""

    request_id: str
    node: loadsim._Node
    job: attempt.Job
    code: codes.Code | None = None


@dataclasses.dataclass(slots=True)
class _Run:
    """A request that a target began to run."""

    request_id: str
    worker: str
    began_at: float


class _LeavingFleet(loadsim.LoadFleet):
    """Fleet whose nodes stop and whose targets drain.

    Attributes:
        violations: What broke a promise.
        stops: Number of stops of nodes.
        drains: Number of drains of targets.
    """

    def __init__(self, plan: spelltarget.Plan, seed: int):
        super().__init__(plan, seed)
        self.violations: list[str] = []
        self.stops = 0
        self.drains = 0
        self.endings: list[_Ending] = []
        self._runs: list[_Run] = []
        self._stopping: dict[str, float] = {}
        self._draining: dict[str, float] = {}
        for node in self._nodes:
            node.client.run = self._record_runs(node)
        self._plan_departures(random.Random(seed))

    def _plan_departures(self, rng: random.Random) -> None:
        at = 2.0
        while at < _SECONDS:
            at += rng.expovariate(2.0)
            node = rng.choice(self._nodes)
            action = rng.choice((self._stop, self._drain))
            self._call(at, lambda node=node, action=action: action(node))

    def _call(self, at: float, action: Callable[[], None]) -> None:
        """Runs an action in the loop at a virtual time, in s."""
        self._timeline.call_at(at, lambda: self._loop.call_soon(action))

    def _stop(self, node: loadsim._Node) -> None:
        if node.name in self._stopping or node._at.worker in self._draining:
            return
        self.stops += 1
        now = self.clock.monotonic()
        self._stopping[node.name] = now
        node.owner.leave()
        node.forwarder._departure.begin(_NOTICE_S, _LIMIT_S)
        self._call(now + _LIMIT_S, lambda: self._end(node))

    def _end(self, node: loadsim._Node) -> None:
        for ending in self.endings:
            if ending.node is not node or ending.code is not None:
                continue
            if not ending.job.runs_in_flight:
                self.violations.append(f"{ending.request_id} cut unanswered")
        self._call(
            self.clock.monotonic() + _RESTART_S, lambda: self._restart(node)
        )

    def _restart(self, node: loadsim._Node) -> None:
        node.restart_owner()
        node.forwarder._departure.ends_at = math.inf
        del self._stopping[node.name]

    def _drain(self, node: loadsim._Node) -> None:
        if node.name in self._stopping or node._at.worker in self._draining:
            return
        self.drains += 1
        now = self.clock.monotonic()
        self._draining[node._at.worker] = now
        worker = node.owner._workers[node._at.worker]
        worker.set_drained(True)

        def end() -> None:
            worker.set_drained(False)
            del self._draining[node._at.worker]

        self._call(now + _LIMIT_S, end)

    def _record_runs(self, node: loadsim._Node) -> Callable:
        run = node.client.run
        worker = node._at.worker

        async def record(request, idempotent, remaining_s):
            now = self.clock.monotonic()
            request_id = request.headers[1].value
            self._runs.append(_Run(request_id, worker, now))
            if worker in self._draining:
                self.violations.append(f"{request_id} sent to a draining one")
            stopped_at = self._stopping.get(node.name, math.inf)
            if now > stopped_at + _HOLD_S:
                self.violations.append(f"{request_id} sent by a stopped owner")
            return await run(request, idempotent, remaining_s)

        return record

    async def _serve(self, load: loadsim.Load, tally: loadsim.Tally) -> None:
        del tally
        now = self.clock.monotonic()
        taking = [
            node
            for node in self._nodes
            if now < self._stopping.get(node.name, math.inf) + _NOTICE_S
        ]
        node = self.rng.choice(taking or self._nodes)
        request_id = f"r{len(self.endings)}"
        job = attempt.Job(
            request=wire.Request(
                "POST",
                "/",
                [
                    wire.Header("Ingress", node.name),
                    wire.Header("Id", request_id),
                ],
                str(load.work_s).encode(),
            ),
            service="permits",
            idempotent=load.idempotent,
            deadline=now + load.deadline_s,
            objective_s=load.objective_s,
            max_runs=2,
        )
        ending = _Ending(request_id, node, job)
        self.endings.append(ending)
        progress = requestprogress.Progress(now)
        try:
            async with asyncio.timeout(load.deadline_s):
                await node.forwarder.forward(job, progress)
            ending.code = progress.result().code
        except TimeoutError:
            ending.code = codes.Code.REPLY_TIMEOUT

    def check(self) -> list[str]:
        """Returns what broke a promise, after the play."""
        runs = collections.Counter(run.request_id for run in self._runs)
        found = list(self.violations)
        for ending in self.endings:
            count = runs[ending.request_id]
            outcome = codes.outcome(ending.code or 0)
            if count and outcome is codes.Outcome.NOT_RUN:
                found.append(f"{ending.request_id} refused, but has run")
            if count > 1 and not ending.job.idempotent:
                found.append(f"{ending.request_id} ran {count} times")
        return found


def _play(seed: int) -> _LeavingFleet:
    plan = spelltarget.Plan(nodes=8, domains=2, failing_share=0.1)
    fleet = _LeavingFleet(plan, seed)
    rate = 1.1 * plan.nodes * plan.slots / _WORK_S
    loads = [
        loadsim.Load(
            rate / 2, idempotent, _WORK_S, 8, _OBJECTIVE_S, _DEADLINE_S
        )
        for idempotent in (False, True)
    ]
    logging.disable(logging.CRITICAL)
    try:
        fleet.run(loads, _SECONDS, warm_up_s=2.0)
    finally:
        logging.disable(logging.NOTSET)
    return fleet


def _seeds() -> list[int]:
    first, _, last = os.environ.get("LEAVING_SEEDS", "1-3").partition("-")
    return list(range(int(first), int(last or first) + 1))


class LeavingSeedsTest(testtools.TestCase):
    def test_stops_and_drains_cut_no_waiting_request(self):
        """Requests that waited were cut, or sent to a target that drains."""
        for seed in _seeds():
            fleet = _play(seed)
            answers = collections.Counter(
                ending.code.name if ending.code else "none"
                for ending in fleet.endings
            )
            print(
                f"seed {seed}: {fleet.stops} stops, {fleet.drains} drains,"
                f" {dict(answers)}"
            )
            self.assertEqual([], fleet.check(), f"seed {seed}")
            self.assertGreater(answers["ANSWERED"], 0)
            self.assertGreater(answers["NODE_LEAVING"], 0)
