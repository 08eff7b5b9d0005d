"""Measures overload and fairness on a fleet of real processes.

Two nodes with four workers each run on loopback. A worker has 3 slots, and its
target takes about 100 ms per request. Callers of 20 organisations send
open-loop load; in one phase one organisation sends ten times as much as each
other one. Attempts are counted as executions in the run logs of the targets.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import tempfile
import time
from typing import Annotated

import msgspec
from tornado import httpclient
import typer

from sardinedoor_standins import caller
from sardinedoor_standins import fleet
from sardinedoor_standins import target

_NODE_COUNT = 2
_WORKERS_PER_NODE = 4
_SLOTS_PER_WORKER = 3
_SERVICE_TIME_MS = 100.0
_ORGANISATION_COUNT = 20
_REQUEST_TIMEOUT_MS = 2000
_MAX_IDLE_CONNECTIONS = 400


def _plan() -> fleet.Plan:
    nodes = [
        fleet.NodePlan(
            f"n{n}",
            "attica",
            f"fd-{n}",
            [
                fleet.WorkerPlan(f"permits-{n}-{w}", "permits")
                for w in range(_WORKERS_PER_NODE)
            ],
        )
        for n in range(_NODE_COUNT)
    ]
    names = ", ".join(w.name for node in nodes for w in node.workers)
    settings = (
        f"[team]\nname = permits-office\n[service permits]\n"
        f"workers = {names}\nslots = {_SLOTS_PER_WORKER}\n[route permits]\n"
        f"service = permits\npath = /permits\nvisibility = public\n"
    )
    return fleet.Plan(nodes, {"permits-office": settings})


class _LoadGenerator:
    """Sends open-loop load with a deadline of 2 s and without retries.

    Attributes:
        rows: Start time in s, organisation, latency in s and result code of
            each finished request; 1000 means that a target ran the request
            and the response is complete. If the response has no code, the
            `caller.Ending` takes its place.
    """

    def __init__(self, running: fleet.Fleet, seed: int):
        self._addresses = [n.public for n in running.plan.nodes]
        self._rng = random.Random(seed)
        self._idle: list[caller.Caller] = []
        self._tasks: set[asyncio.Task] = set()
        self.rows: list[tuple[float, str, float, str]] = []

    async def run(
        self, seconds: float, rate_per_s: float, hot_factor: float
    ) -> None:
        """Sends requests at a constant mean rate.

        Args:
            seconds: Time to send for, in s.
            rate_per_s: Mean number of requests per second.
            hot_factor: Load of organisation 0 as a multiple of the load of
                each other organisation.
        """
        ends_at = time.monotonic() + seconds
        due_at = time.monotonic()
        while (due_at := due_at + self._rng.expovariate(rate_per_s)) < ends_at:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            drawn = self._rng.random() * (_ORGANISATION_COUNT - 1 + hot_factor)
            number = 0 if drawn < hot_factor else 1 + int(drawn - hot_factor)
            task = asyncio.create_task(self._send(f"org-{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for all requests in flight."""
        await asyncio.gather(*self._tasks)

    async def _send(self, organisation: str) -> None:
        connection = self._idle.pop() if self._idle else self._open()
        started_at = time.monotonic()
        answer = await connection.request(
            "GET",
            "/permits/1",
            {
                "X-Organisation": organisation,
                "X-Request-Timeout-Ms": str(_REQUEST_TIMEOUT_MS),
            },
        )
        code = answer.headers.get("sardinedoor-code", answer.ending.value)
        latency_s = time.monotonic() - started_at
        self.rows.append((started_at, organisation, latency_s, code))
        if len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)

    def _open(self) -> caller.Caller:
        return caller.Caller(self._rng.choice(self._addresses))


def _print_phase(
    name: str, rows: list, capacity: float, seconds: float
) -> float:
    latencies_s = sorted(r[2] for r in rows if r[3] == "1000")
    counts_by_code = collections.Counter(r[3] for r in rows)
    p99_ms = 1000 * latencies_s[int(0.99 * (len(latencies_s) - 1))]
    print(
        f"{name}: {len(latencies_s) / seconds:.0f} answered a second "
        f"({len(latencies_s) / seconds / capacity:.3f} of {capacity:.0f}), p50 "
        f"{1000 * latencies_s[len(latencies_s) // 2]:.1f} ms, "
        f"p99 {p99_ms:.1f} ms, "
        f"codes {dict(counts_by_code)}"
    )
    return p99_ms


async def _count_runs(running: fleet.Fleet, http) -> int:
    count = 0
    for node in running.plan.nodes:
        for worker in node.workers:
            url = f"http://{worker.address}/-/control"
            count += len(msgspec.json.decode((await http.fetch(url)).body))
    return count


async def _set_service_time(running: fleet.Fleet, http) -> None:
    behaviour = target.Behaviour(service_ms=_SERVICE_TIME_MS)
    for node in running.plan.nodes:
        for worker in node.workers:
            await http.fetch(
                f"http://{worker.address}/-/control",
                method="PUT",
                body=msgspec.json.encode(behaviour),
            )


async def _run(seed: int, seconds: float, folder: pathlib.Path) -> None:
    running = fleet.Fleet(_plan(), folder)
    http = httpclient.AsyncHTTPClient(force_instance=True)
    capacity_per_s = (
        _NODE_COUNT
        * _WORKERS_PER_NODE
        * _SLOTS_PER_WORKER
        * 1000
        / _SERVICE_TIME_MS
    )
    try:
        await running.start()
        await _set_service_time(running, http)
        load = _LoadGenerator(running, seed)
        # Warms up the fleet; these requests belong to no phase.
        await load.run(2.0, 0.2 * capacity_per_s, 1.0)
        phase_bounds = [time.monotonic()]
        phases = [
            ("share x1", 0.5, 1.0),
            (
                "share x10",
                0.5 * (_ORGANISATION_COUNT + 9) / _ORGANISATION_COUNT,
                10.0,
            ),
            ("overload x2", 2.0, 1.0),
            ("after", 0.5, 1.0),
        ]
        for _, load_factor, hot_factor in phases:
            await load.run(seconds, load_factor * capacity_per_s, hot_factor)
            phase_bounds.append(time.monotonic())
        await load.finish()
        runs = await _count_runs(running, http)
    finally:
        http.close()
        running.close()
    print(f"seed {seed}, nominal capacity {capacity_per_s:.0f} a second")
    p99s_ms = []
    for number, (name, _, _) in enumerate(phases):
        start, end = phase_bounds[number], phase_bounds[number + 1]
        # Leaves out the time in which the queues of the overload drain.
        if name == "after":
            start += 2.0
        rows = [r for r in load.rows if start <= r[0] < end]
        if name.startswith("share"):
            rows = [r for r in rows if r[1] != "org-0"]
        p99s_ms.append(_print_phase(name, rows, capacity_per_s, end - start))
    answered = sum(r[3] == "1000" for r in load.rows)
    print(f"others' p99 ratio {p99s_ms[1] / p99s_ms[0]:.2f} (target <= 1.5)")
    print(
        f"p99 from 2 s after the overload / before "
        f"{p99s_ms[3] / p99s_ms[0]:.2f}"
    )
    print(
        f"runs at the targets {runs} for {len(load.rows)} requests "
        f"({runs / len(load.rows):.3f}), {answered} answered"
    )


def main(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Length of each phase, s.")
    ] = 10,
) -> None:
    """Runs all phases once and prints their results."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_run(seed, seconds, pathlib.Path(folder)))


if __name__ == "__main__":
    typer.run(main)
