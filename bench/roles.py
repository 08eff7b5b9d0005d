"""Processor time and memory of the ingress and the owner per request.

Two nodes: one without workers, at which all callers enter, and one that owns
all workers. Each kind of request is sent at several rates; the slope is fitted
by least squares over them.

Usage: python bench/roles.py [SECONDS]
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import statistics
import sys
import tempfile

from sardinedoor_standins import fleet
from sardinedoor_standins import load

RATES_PER_S = (0.2, 50, 100, 150, 200)
SEED = 1
_KINDS = (("GET", True), ("POST", False))
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_WORKERS = 12
_ROLES = ("ingress", "owner")


def _settings() -> str:
    names = ", ".join(f"w-{n}" for n in range(_WORKERS))
    return (
        "[team]\nname = t\n[service s]\n"
        f"workers = {names}\nfloor = 1\n"
        "[route r]\nservice = s\npath = /r\nvisibility = public\n"
    )


def _plan() -> fleet.Plan:
    workers = [fleet.WorkerPlan(f"w-{n}", "s") for n in range(_WORKERS)]
    nodes = [
        fleet.NodePlan("ingress", "r", "a", []),
        fleet.NodePlan("owner", "r", "a", workers),
    ]
    return fleet.Plan(nodes, {"t": _settings()})


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


async def _measure(running: fleet.Fleet, seconds: float) -> None:
    entry = running.node("ingress").public
    for method, idempotent in _KINDS:
        points: dict[str, list[tuple[float, float]]] = {r: [] for r in _ROLES}
        for rate in RATES_PER_S:
            generator = load.Generator(SEED)
            flow = load.Flow("f", [entry], method, "/r", rate, idempotent)
            before = {r: _cpu_s(running.pid(r)) for r in _ROLES}
            await generator.run([flow], seconds)
            await generator.finish()
            answered = sum(
                s.fate is load.Fate.ANSWERED for s in generator.samples
            )
            for role in _ROLES:
                used = _cpu_s(running.pid(role)) - before[role]
                points[role].append((answered / seconds, used / seconds))
            generator.close()
        for role in _ROLES:
            xs, ys = zip(*points[role], strict=True)
            fit = statistics.linear_regression(xs, ys)
            shown = " ".join(f"{x:.0f}:{100 * y:.1f}%" for x, y in points[role])
            memory = _resident_mb(running.pid(role))
            print(
                f"{method:5} {role:8} {1000 * fit.slope:.2f} ms/request,"
                f" idle {100 * fit.intercept:.1f}% of a core,"
                f" {memory:.0f} MB; {shown}",
                flush=True,
            )


async def _run(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(_plan(), pathlib.Path(folder))
        try:
            await running.start()
            await _measure(running, seconds)
        finally:
            running.close()


if __name__ == "__main__":
    asyncio.run(_run(float(sys.argv[1]) if len(sys.argv) > 1 else 6.0))
