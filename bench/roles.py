"""Measures CPU time per request and memory of the ingress and the owner.

One of two nodes has no workers and receives the requests of all callers; the
other one owns all workers. Idempotent and non-idempotent requests are sent in
turn, at several rates. The CPU time per request is the slope of a least-squares
fit over the rates.

SECONDS is the duration of the load at each rate.

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

# The lowest rate leaves the nodes nearly idle.
RATES_PER_S = (0.2, 50, 100, 150, 200)
SEED = 1
# HTTP methods, and whether their requests are idempotent.
_METHODS = (("GET", True), ("POST", False))
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_WORKER_COUNT = 12
_ROLES = ("ingress", "owner")


def _settings_text() -> str:
    names = ", ".join(f"w-{n}" for n in range(_WORKER_COUNT))
    return (
        "[team]\nname = t\n[service s]\n"
        f"workers = {names}\nfloor = 1\n"
        "[route r]\nservice = s\npath = /r\nvisibility = public\n"
    )


def _plan() -> fleet.Plan:
    workers = [fleet.WorkerPlan(f"w-{n}", "s") for n in range(_WORKER_COUNT)]
    nodes = [
        fleet.NodePlan("ingress", "r", "a", []),
        fleet.NodePlan("owner", "r", "a", workers),
    ]
    return fleet.Plan(nodes, {"t": _settings_text()})


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


async def _measure(running: fleet.Fleet, seconds: float) -> None:
    ingress_address = running.node("ingress").public
    for method, idempotent in _METHODS:
        rates_and_cores: dict[str, list[tuple[float, float]]] = {
            r: [] for r in _ROLES
        }
        for rate in RATES_PER_S:
            generator = load.Generator(SEED)
            flow = load.Flow(
                "f", [ingress_address], method, "/r", rate, idempotent
            )
            cpu_before_s = {r: _cpu_s(running.pid(r)) for r in _ROLES}
            await generator.run([flow], seconds)
            await generator.finish()
            answered = sum(
                s.fate is load.Fate.ANSWERED for s in generator.samples
            )
            for role in _ROLES:
                used_s = _cpu_s(running.pid(role)) - cpu_before_s[role]
                rates_and_cores[role].append(
                    (answered / seconds, used_s / seconds)
                )
            generator.close()
        for role in _ROLES:
            rates, cores = zip(*rates_and_cores[role], strict=True)
            fit = statistics.linear_regression(rates, cores)
            measured = " ".join(
                f"{rate:.0f}:{100 * used:.1f}%"
                for rate, used in rates_and_cores[role]
            )
            memory_mb = _resident_mb(running.pid(role))
            print(
                f"{method:5} {role:8} {1000 * fit.slope:.2f} ms/request,"
                f" idle {100 * fit.intercept:.1f}% of a core,"
                f" {memory_mb:.0f} MB; {measured}",
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
