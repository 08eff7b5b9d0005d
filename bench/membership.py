"""Measures membership and settings propagation on a fleet of real processes.

For a given number of nodes without targets it prints the time until nodes learn
that another node was killed or restarted, and until they accept a settings
edit; the nodes suspected and declared dead while a tenth of the nodes is paused
by SIGSTOP for 2 s; traffic, CPU time and memory per node in steady state and
under churn; and the rate of calls to the platform. Times are read from the logs
of the nodes.
"""

from __future__ import annotations

import asyncio
import datetime
import json
import pathlib
import random
import signal
import statistics
import tempfile
import time
from typing import Annotated

import msgspec
from tornado import httpclient
import typer

from sardinedoor_standins import fleet
from sardinedoor_standins import usage

_FAILURE_DOMAIN_COUNT = 4
_FREEZE_S = 2.0
_TEAM = "permits-office"
_SETTLE_S = 8.0


def _settings_text(edit: int) -> str:
    return (
        f"[team]\nname = {_TEAM}\n[service permits]\nworkers = permits-0\n"
        f"[route permits]\nservice = permits\npath = /permits\n"
        f"timeout_ms = {1000 + edit}\n"
    )


class _VerboseFleet(fleet.Fleet):
    """A fleet whose nodes log every change of a member's state."""

    def _node_ini(self, node: fleet.NodePlan) -> str:
        text = super()._node_ini(node)
        return text.replace("[node]\n", "[node]\nlog_level = debug\n", 1)


class _LogReader:
    """Reads what each node has logged since the last `skip`."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._offsets: dict[str, int] = {}

    def skip(self, names: list[str]) -> None:
        """Excludes from `rows` what these nodes have logged so far."""
        for name in names:
            path = self._folder / f"{name}.log"
            self._offsets[name] = path.stat().st_size if path.exists() else 0

    def rows(self, name: str) -> list[dict]:
        """Returns the JSON rows logged since `skip`."""
        path = self._folder / f"{name}.log"
        with path.open("rb") as log:
            log.seek(self._offsets.get(name, 0))
            lines = log.read().splitlines()
        return [json.loads(line) for line in lines if line[:1] == b"{"]


def _logged_at_s(row: dict) -> float:
    moment = datetime.datetime.strptime(row["time"], "%Y-%m-%d %H:%M:%S,%f")
    return moment.timestamp()


class _Benchmark:
    """A fleet and the measurements on it."""

    def __init__(self, count: int, seed: int, folder: pathlib.Path):
        self._rng = random.Random(seed)
        plan = fleet.Plan(
            [
                fleet.NodePlan(
                    f"n{n}",
                    "attica",
                    f"fd-{n % _FAILURE_DOMAIN_COUNT}",
                    workers=[],
                )
                for n in range(count)
            ],
            {_TEAM: _settings_text(0)},
        )
        self._fleet = _VerboseFleet(plan, folder)
        self._logs = _LogReader(folder)
        self._http = httpclient.AsyncHTTPClient(force_instance=True)
        self._names = [node.name for node in plan.nodes]

    async def run(self, edits: int, rounds: int, window_s: float) -> None:
        """Runs all measurements and prints their results.

        Args:
            edits: Number of settings edits.
            rounds: Number of kills, each followed by a restart.
            window_s: Length of each measurement of resource usage, in s.
        """
        running = self._fleet
        running.spawn_platform()
        await running.wait_http(f"http://{running.platform_address}/edit/reads")
        await running.edit(_TEAM, _settings_text(0))
        await running.publish()
        started_at = time.monotonic()
        for node in running.plan.nodes:
            running.spawn_node(node)
        for node in running.plan.nodes:
            await running.wait_ready(node)
        print(f"cold start: {time.monotonic() - started_at:.1f} s", flush=True)
        await asyncio.sleep(_SETTLE_S)
        await self._measure_usage("idle", window_s, None)
        await self._measure_edits(edits)
        await self._measure_deaths_and_joins(rounds)
        await self._measure_freeze()
        await self._measure_usage("churning", window_s, self._churn)

    def close(self) -> None:
        """Ends all processes of the fleet."""
        self._http.close()
        self._fleet.close()

    async def _count_platform_calls(self) -> int:
        address = self._fleet.platform_address
        reply = await self._http.fetch(f"http://{address}/edit/reads")
        return msgspec.json.decode(reply.body)["reads"]

    async def _measure_usage(
        self, label: str, window_s: float, workload
    ) -> None:
        # Node 0 is left out: `_churn` restarts it.
        names = self._names[1:]
        pids = [self._fleet.pid(name) for name in names]
        before, calls = usage.read(pids), await self._count_platform_calls()
        if workload is None:
            await asyncio.sleep(window_s)
        else:
            await workload(window_s)
        after, calls = (
            usage.read(pids),
            await self._count_platform_calls() - calls,
        )
        durations_s = [after[p].at - before[p].at for p in pids]
        cpu = _rates(pids, before, after, "cpu_s", durations_s)
        sent = _rates(pids, before, after, "sent_bytes", durations_s)
        received = _rates(pids, before, after, "received_bytes", durations_s)
        rss = [after[p].rss_bytes / 2**20 for p in pids]
        sockets = [after[p].sockets for p in pids]
        print(
            f"{label}: cpu mean {100 * statistics.mean(cpu):.2f}% max "
            f"{100 * max(cpu):.2f}% of a core; sent mean "
            f"{statistics.mean(sent):.0f} max {max(sent):.0f} B/s; received "
            f"mean {statistics.mean(received):.0f} max {max(received):.0f} "
            f"B/s; rss mean {statistics.mean(rss):.1f} max {max(rss):.1f} MiB;"
            f" sockets mean {statistics.mean(sockets):.1f} max {max(sockets)};"
            f" platform {calls / durations_s[0]:.2f} calls/s",
            flush=True,
        )

    async def _measure_edits(self, edits: int) -> None:
        delays = []
        missing = 0
        for edit in range(1, edits + 1):
            self._logs.skip(self._names)
            await self._fleet.edit(_TEAM, _settings_text(edit))
            accepted_at = time.time()
            # Leaves time for the edit to reach all nodes.
            await asyncio.sleep(1.5)
            for name in self._names:
                rows = self._logs.rows(name)
                times = [
                    _logged_at_s(r)
                    for r in rows
                    if r["message"] == "settings accepted"
                ]
                if times:
                    delays.append(times[-1] - accepted_at)
                else:
                    missing += 1
        _print_delays(
            f"settings edit in force ({edits} edits)", delays, missing
        )

    async def _measure_deaths_and_joins(self, rounds: int) -> None:
        deaths, joins, missing = [], [], 0
        for _ in range(rounds):
            victim = self._rng.choice(self._names[1:])
            others = [n for n in self._names if n != victim]
            self._logs.skip(others)
            killed_at = time.time()
            self._fleet.kill(victim)
            # Leaves time for all nodes to declare the member dead.
            await asyncio.sleep(9)
            missing += self._collect_delays(
                others, victim, "DEAD", killed_at, deaths
            )
            self._logs.skip(others)
            started_at = time.time()
            node = self._fleet.node(victim)
            self._fleet.spawn_node(node)
            await self._fleet.wait_ready(node)
            ready_s = time.time() - started_at
            await asyncio.sleep(2)
            missing += self._collect_delays(
                others, victim, "ALIVE", started_at, joins
            )
            print(f"restart of {victim}: ready after {ready_s:.2f} s")
        _print_delays("death known", deaths, missing)
        _print_delays("join known, from exec", joins, missing)

    def _collect_delays(
        self,
        names: list[str],
        member: str,
        state: str,
        since_s: float,
        delays: list[float],
    ) -> int:
        """Appends the time until each node logged a state of a member.

        Args:
            names: Nodes whose logs are read.
            member: Name of the member.
            state: State of the member.
            since_s: Wall-clock time that the delays are counted from, in s.
            delays: List that the delays, in s, are added to.

        Returns:
            The number of nodes that didn't log the state.
        """
        missing = 0
        for name in names:
            times = [
                _logged_at_s(r)
                for r in self._logs.rows(name)
                if r["message"] == "member"
                and r["member"] == member
                and r["state"] == state
            ]
            if times:
                delays.append(times[0] - since_s)
            else:
                missing += 1
        return missing

    async def _measure_freeze(self) -> None:
        count = max(1, len(self._names) // 10)
        frozen = self._rng.sample(self._names[1:], count)
        self._logs.skip(self._names)
        for name in frozen:
            self._fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        for name in frozen:
            self._fleet.signal(name, signal.SIGCONT)
        # Leaves time for members suspected last to be declared dead.
        await asyncio.sleep(6)
        members_by_state = {"SUSPECT": set(), "DEAD": set()}
        for name in self._names:
            for row in self._logs.rows(name):
                if (
                    row["message"] == "member"
                    and row["state"] in members_by_state
                ):
                    members_by_state[row["state"]].add(row["member"])
        healthy = set(self._names) - set(frozen)
        print(
            f"{count} frozen for {_FREEZE_S} s: of the frozen "
            f"{len(members_by_state['SUSPECT'] & set(frozen))} suspected and "
            f"{len(members_by_state['DEAD'] & set(frozen))} called dead; of "
            f"{len(healthy)} healthy "
            f"{len(members_by_state['SUSPECT'] & healthy)} suspected and "
            f"{len(members_by_state['DEAD'] & healthy)} called dead",
            flush=True,
        )

    async def _churn(self, window_s: float) -> None:
        """Restarts node 0 and edits the settings, each once every 4 s."""
        end = time.monotonic() + window_s
        edit = 1000
        while time.monotonic() < end:
            self._fleet.kill(self._names[0])
            self._fleet.spawn_node(self._fleet.plan.nodes[0])
            await asyncio.sleep(2)
            edit += 1
            await self._fleet.edit(_TEAM, _settings_text(edit))
            await asyncio.sleep(2)


def _rates(pids, before, after, field: str, durations_s) -> list[float]:
    """Returns the increase of a counter per second for each process."""
    return [
        (getattr(after[p], field) - getattr(before[p], field)) / duration_s
        for p, duration_s in zip(pids, durations_s, strict=True)
    ]


def _print_delays(label: str, delays: list[float], missing: int) -> None:
    delays.sort()
    p50 = delays[len(delays) // 2]
    p99 = delays[min(len(delays) - 1, int(len(delays) * 0.99))]
    print(
        f"{label}: p50 {p50:.2f} s, p99 {p99:.2f} s, max {delays[-1]:.2f} s, "
        f"{len(delays)} samples, {missing} missing",
        flush=True,
    )


def main(
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = 8,
    edits: Annotated[int, typer.Option(help="Number of settings edits.")] = 10,
    rounds: Annotated[
        int, typer.Option(help="Number of deaths and joins.")
    ] = 2,
    window_s: Annotated[
        float, typer.Option(help="Length of a usage measurement, s.")
    ] = 10,
    seed: Annotated[
        int, typer.Option(help="Seed for the choice of nodes.")
    ] = 1,
) -> None:
    """Runs the benchmark with a given number of nodes."""
    print(f"nodes {nodes}, seed {seed}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        benchmark = _Benchmark(nodes, seed, pathlib.Path(folder))
        try:
            asyncio.run(benchmark.run(edits, rounds, window_s))
        finally:
            benchmark.close()


if __name__ == "__main__":
    typer.run(main)
