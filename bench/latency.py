"""Measures added latency and CPU time per request against the direct path.

Two nodes in one failure domain run on loopback. Each receives open-loop load of
--rate requests per second as ingress and serves as many as owner. The direct
load is sent to the same targets in the same run.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import tempfile
import time
from typing import Annotated

from hdrh import histogram
import typer

from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

_WORKERS_PER_NODE = 15
_MAX_LATENCY_US = 60_000_000
_TICKS_PER_S = 100


def _plan() -> fleet.Plan:
    nodes = [
        fleet.NodePlan(
            f"n{n}",
            "attica",
            "fd-a",
            [
                fleet.WorkerPlan(f"permits-{n}-{w}", "permits")
                for w in range(_WORKERS_PER_NODE)
            ],
        )
        for n in range(2)
    ]
    names = ", ".join(w.name for node in nodes for w in node.workers)
    settings = (
        f"[team]\nname = permits-office\n[service permits]\n"
        f"workers = {names}\n[route permits]\nservice = permits\n"
        f"path = /permits\nvisibility = public\n"
    )
    return fleet.Plan(nodes, {"permits-office": settings})


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


class _LoadGenerator:
    """Sends open-loop load to a set of addresses.

    Attributes:
        latency_us: Latency of the answered requests, in us.
        failed: Number of failed requests by code.
    """

    def __init__(self, addresses: list[str], post_share: float):
        self._clients = [target.TargetClient(a) for a in addresses]
        self._post_share = post_share
        self.latency_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.failed: collections.Counter[str] = collections.Counter()

    async def run(self, rate: float, seconds: float, seed: int) -> None:
        rng = random.Random(seed)
        tasks = []
        start = time.perf_counter()
        due_s = 0.0
        while due_s < seconds:
            due_s += rng.expovariate(rate)
            delay_s = start + due_s - time.perf_counter()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            client = self._clients[len(tasks) % len(self._clients)]
            is_post = rng.random() < self._post_share
            tasks.append(asyncio.create_task(self._send(client, is_post)))
        await asyncio.gather(*tasks)

    async def _send(self, client: target.TargetClient, is_post: bool) -> None:
        request = wire.Request("POST" if is_post else "GET", "/permits/7")
        if is_post:
            request.body = b"fee"
        start = time.perf_counter()
        reply = await client.run(request, True, 10.0)
        latency_s = time.perf_counter() - start
        if reply.code != codes.Code.ANSWERED or reply.status != 200:
            code = reply.headers.get("Sardinedoor-Code", reply.code.name)
            self.failed[code] += 1
            return
        self.latency_us.record_value(int(latency_s * 1_000_000))


def _print_load(name: str, load: _LoadGenerator) -> None:
    percentiles_ms = [
        load.latency_us.get_value_at_percentile(p) / 1000 for p in (50, 90, 99)
    ]
    count = load.latency_us.get_total_count()
    print(
        f"{name:>14}  n={count:6d} failed={dict(load.failed)}"
        f"  p50={percentiles_ms[0]:6.2f}  p90={percentiles_ms[1]:6.2f}"
        f"  p99={percentiles_ms[2]:6.2f} ms",
        flush=True,
    )


async def _measure(rate: float, seconds: float, seed: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(_plan(), pathlib.Path(folder))
        try:
            await running.start()
            await _compare(running, rate, seconds, seed)
        finally:
            running.close()


async def _compare(
    running: fleet.Fleet, rate: float, seconds: float, seed: int
) -> None:
    nodes = running.plan.nodes
    direct = [w.address for node in nodes for w in node.workers]
    through_fleet = [node.public for node in nodes]
    for name, post_share in (("idempotent", 0.0), ("non-idempotent", 1.0)):
        loads = []
        for path, addresses in (("direct", direct), ("through", through_fleet)):
            load = _LoadGenerator(addresses, post_share)
            await load.run(50, 1, seed)
            load.latency_us.reset()
            cpu_before_s = [_cpu_s(running.pid(n.name)) for n in nodes]
            await load.run(rate * len(nodes), seconds, seed)
            cpu_after_s = [_cpu_s(running.pid(n.name)) for n in nodes]
            _print_load(f"{name[:8]} {path}", load)
            loads.append(load)
            count = load.latency_us.get_total_count()
        cpu_ms = 1000 * (sum(cpu_after_s) - sum(cpu_before_s)) / count
        added_ms = [
            (
                loads[1].latency_us.get_value_at_percentile(p)
                - loads[0].latency_us.get_value_at_percentile(p)
            )
            / 1000
            for p in (50, 99)
        ]
        print(
            f"{name}: added p50 {added_ms[0]:.2f} ms, p99 {added_ms[1]:.2f} ms,"
            f" node CPU {cpu_ms:.2f} ms per request",
            flush=True,
        )


def main(
    rate: Annotated[
        float, typer.Option(help="Requests per second per node.")
    ] = 200,
    seconds: Annotated[
        float, typer.Option(help="Length of each load, s.")
    ] = 10,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
) -> None:
    """Prints latency percentiles of both paths and their differences."""
    print(f"rate={rate:g}/s per node, {seconds:g} s, seed={seed}")
    asyncio.run(_measure(rate, seconds, seed))


if __name__ == "__main__":
    typer.run(main)
