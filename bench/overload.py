"""Overload and one busy organisation, on real processes.

Two nodes with four workers each (3 slots, about 100 ms of work) on loopback.
Callers of 20 organisations send open load; one of them sends ten times the
share of another. The attempts are counted in the targets' own run logs.
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

_NODES = 2
_WORKERS = 4
_SLOTS = 3
_SERVICE_MS = 100.0
_ORGANISATIONS = 20
_TIMEOUT_MS = 2000
_POOL = 400


def _plan() -> fleet.Plan:
    nodes = [
        fleet.NodePlan(
            f"n{n}",
            "attica",
            f"fd-{n}",
            [
                fleet.WorkerPlan(f"permits-{n}-{w}", "permits")
                for w in range(_WORKERS)
            ],
        )
        for n in range(_NODES)
    ]
    names = ", ".join(w.name for node in nodes for w in node.workers)
    settings = (
        f"[team]\nname = permits-office\n[service permits]\n"
        f"workers = {names}\nslots = {_SLOTS}\n[route permits]\n"
        f"service = permits\npath = /permits\nvisibility = public\n"
    )
    return fleet.Plan(nodes, {"permits-office": settings})


class _Load:
    """Open load from callers with a deadline of 2 s, who don't resend."""

    def __init__(self, running: fleet.Fleet, seed: int):
        self._addresses = [n.public for n in running.plan.nodes]
        self._rng = random.Random(seed)
        self._idle: list[caller.Caller] = []
        self._tasks: set[asyncio.Task] = set()
        self.rows: list[tuple[float, str, float, str]] = []

    async def run(self, seconds: float, rate: float, hog: float) -> None:
        """Sends for a time; organisation 0 has `hog` shares."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            pick = self._rng.random() * (_ORGANISATIONS - 1 + hog)
            number = 0 if pick < hog else 1 + int(pick - hog)
            task = asyncio.create_task(self._one(f"org-{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for what is under way."""
        await asyncio.gather(*self._tasks)

    async def _one(self, organisation: str) -> None:
        own = self._idle.pop() if self._idle else self._open()
        begun = time.monotonic()
        answer = await own.request(
            "GET",
            "/permits/1",
            {
                "X-Organisation": organisation,
                "X-Request-Timeout-Ms": str(_TIMEOUT_MS),
            },
        )
        code = answer.headers.get("sardinedoor-code", answer.ending.value)
        took = time.monotonic() - begun
        self.rows.append((begun, organisation, took, code))
        if len(self._idle) < _POOL:
            self._idle.append(own)

    def _open(self) -> caller.Caller:
        return caller.Caller(self._rng.choice(self._addresses))


def _report(name: str, rows: list, capacity: float, seconds: float) -> float:
    good = sorted(r[2] for r in rows if r[3] == "1000")
    counts = collections.Counter(r[3] for r in rows)
    p99 = 1000 * good[int(0.99 * (len(good) - 1))]
    print(
        f"{name}: {len(good) / seconds:.0f} answered a second "
        f"({len(good) / seconds / capacity:.3f} of {capacity:.0f}), p50 "
        f"{1000 * good[len(good) // 2]:.1f} ms, p99 {p99:.1f} ms, "
        f"codes {dict(counts)}"
    )
    return p99


async def _attempts(running: fleet.Fleet, http) -> int:
    count = 0
    for node in running.plan.nodes:
        for worker in node.workers:
            url = f"http://{worker.address}/-/control"
            count += len(msgspec.json.decode((await http.fetch(url)).body))
    return count


async def _prepare(running: fleet.Fleet, http) -> None:
    behaviour = target.Behaviour(service_ms=_SERVICE_MS)
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
    nominal = _NODES * _WORKERS * _SLOTS * 1000 / _SERVICE_MS
    try:
        await running.start()
        await _prepare(running, http)
        load = _Load(running, seed)
        await load.run(2.0, 0.2 * nominal, 1.0)
        marks = [time.monotonic()]
        phases = [
            ("share x1", 0.5, 1.0),
            ("share x10", 0.5 * (_ORGANISATIONS + 9) / _ORGANISATIONS, 10.0),
            ("overload x2", 2.0, 1.0),
            ("after", 0.5, 1.0),
        ]
        for _, factor, hog in phases:
            await load.run(seconds, factor * nominal, hog)
            marks.append(time.monotonic())
        await load.finish()
        ran = await _attempts(running, http)
    finally:
        http.close()
        running.close()
    print(f"seed {seed}, nominal capacity {nominal:.0f} a second")
    p99s = []
    for number, (name, _, _) in enumerate(phases):
        begin, end = marks[number], marks[number + 1]
        if name == "after":
            begin += 2.0
        rows = [r for r in load.rows if begin <= r[0] < end]
        if name.startswith("share"):
            rows = [r for r in rows if r[1] != "org-0"]
        p99s.append(_report(name, rows, nominal, end - begin))
    answered = sum(r[3] == "1000" for r in load.rows)
    print(f"others' p99 ratio {p99s[1] / p99s[0]:.2f} (target <= 1.5)")
    print(f"p99 from 2 s after the overload / before {p99s[3] / p99s[0]:.2f}")
    print(
        f"runs at the targets {ran} for {len(load.rows)} requests "
        f"({ran / len(load.rows):.3f}), {answered} answered"
    )


def main(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of a phase, s.")] = 10,
) -> None:
    """Runs all phases once."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_run(seed, seconds, pathlib.Path(folder)))


if __name__ == "__main__":
    typer.run(main)
