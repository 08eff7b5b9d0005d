"""Measures CPU, memory and traffic of one node with tables of the target size.

There are two real processes: the measured node, and this program as its peer.
The peer sends synthetic members and settings when the node starts, and then
restarts members and edits settings at multiples of the target's rates. No other
nodes are simulated: the peer only holds the tables.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec
from tornado import httpclient
import typer

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_node.membership import service
from sardinedoor_node.membership import table
from sardinedoor_node.settings import store
from sardinedoor_node.util import clock
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire
from sardinedoor_standins import sockets
from sardinedoor_standins import usage

if TYPE_CHECKING:
    from sardinedoor_node import link

_SECONDS_PER_DAY = 86_400
_SERVICE_COUNT = 810
_WORKER_COUNT = 40_000
_ROUTE_COUNT = 8_500
_EDITS_PER_DAY = 4_400
_RESTARTS_PER_DAY = 13_000
_DOMAIN_COUNT = 10
_TEAM_COUNT = 90
_UNUSED_ADDRESS = "127.0.0.1:9"
_START_TIMEOUT_S = 60


def _subtree(team: int, edit: int) -> platform.Subtree:
    """Returns the settings of a team's share of services and routes."""
    name = f"team-{team}"
    services = range(team, _SERVICE_COUNT, _TEAM_COUNT)
    parts = [f"[team]\nname = {name}\n"]
    for number in services:
        workers = ", ".join(
            f"svc-{number}-{w}"
            for w in range(number, _WORKER_COUNT, _SERVICE_COUNT)
        )
        parts.append(
            f"[service svc-{number}]\nworkers = {workers}\n"
            f"floor = {1 + edit % 9}\n"
        )
        for route in range(number, _ROUTE_COUNT, _SERVICE_COUNT):
            parts.append(
                f"[route r-{route}]\nservice = svc-{number}\n"
                f"path = /t{team}/r{route}\nvisibility = public\n"
            )
    return platform.Subtree(name, edit + 1, "".join(parts))


def _member(number: int, nodes: int, epoch: int, address: str) -> wire.Member:
    return wire.Member(
        f"node-{number}",
        os.urandom(16),
        address,
        epoch=epoch,
        failure_domain=f"fd-{number % _DOMAIN_COUNT}",
        region=f"region-{number % 3}",
        workers=[
            wire.Worker(
                f"svc-{w % _SERVICE_COUNT}-{w}", f"svc-{w % _SERVICE_COUNT}"
            )
            for w in range(number, _WORKER_COUNT, nodes)
        ],
    )


class _Peer:
    """Peer with synthetic tables that uses the real membership protocol."""

    def __init__(self, nodes: int, address: str):
        self._nodes = nodes
        self._address = address
        self._rng = random.Random(1)
        self.tasks = tasks.TaskGroup()
        time_ = clock.SystemClock()
        own = wire.Member(
            "node-0", os.urandom(16), address, epoch=1, failure_domain="fd-0"
        )
        self.members = table.MemberTable(own, time_)
        self.store = store.SettingsStore()
        self.transport = zeromq.ZeromqTransport("node-0", metrics.Metrics())
        self.transport.bind(address)
        self.membership = service.Membership(
            self.members,
            self.store,
            self.transport,
            time_,
            self._rng,
            self.tasks,
        )
        # The peer sends no probes, since only the measured node is of interest.
        self.membership.neighbours.monitored = lambda: []
        self.membership.anti_entropy.serving = True
        self.transport.on_message(wire.Ping, self._on_ping)
        self.tasks.spawn(self.membership.gossip.run(), "gossip")

    def _on_ping(self, channel: link.Channel, ping: wire.Ping) -> None:
        """Answers pings to all members, since the peer acts for each one."""
        ping.target = "node-0"
        self.membership.neighbours.add_inbound(ping.sender, channel)
        self.membership.pinger.on_ping(channel, ping)

    def fill(self) -> None:
        """Fills the tables with synthetic members and settings."""
        for number in range(1, self._nodes):
            self.members.apply_member(
                _member(number, self._nodes, 1, self._address)
            )
        for team in range(_TEAM_COUNT):
            self.store.apply(_subtree(team, 0))

    async def churn(self, seconds: float, factor: float) -> None:
        """Restarts members and edits settings at random times.

        Args:
            seconds: Time to continue for, in s.
            factor: Multiple of the target's rates.
        """
        ends_at = time.monotonic() + seconds
        rate_per_s = (
            factor * (_EDITS_PER_DAY + _RESTARTS_PER_DAY) / _SECONDS_PER_DAY
        )
        edit = 1
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            edit_share = _EDITS_PER_DAY / (_EDITS_PER_DAY + _RESTARTS_PER_DAY)
            if self._rng.random() < edit_share:
                self.store.apply(
                    _subtree(self._rng.randrange(_TEAM_COUNT), edit)
                )
                edit += 1
            else:
                await self._restart_member(edit)

    async def _restart_member(self, edit: int) -> None:
        number = self._rng.randrange(1, self._nodes)
        self.members.mark_leaving(f"node-{number}", "planned stop")
        await asyncio.sleep(0.2)
        epoch = int(time.time() * 1000)
        self.members.apply_member(
            _member(number, self._nodes, epoch, self._address)
        )

    async def close(self) -> None:
        """Cancels the tasks and closes the transport."""
        await self.tasks.cancel()
        await self.transport.close()


def _node_ini(seed: str, admin: str) -> str:
    addresses = sockets.free_addresses(3)
    return (
        "[node]\nname = node-x\nregion = region-0\nfailure_domain = fd-0\n"
        f"public = {addresses[0]}\ninternal = {addresses[1]}\n"
        f"link = {addresses[2]}\nadmin = {admin}\n"
        f"platform = {_UNUSED_ADDRESS}\n"
        f"seeds = {seed}\nlog_level = error\n"
    )


async def _wait_ready(client: httpclient.AsyncHTTPClient, admin: str) -> None:
    ends_at = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < ends_at:
        try:
            reply = await client.fetch(
                f"http://{admin}/status", request_timeout=20
            )
        except (OSError, httpclient.HTTPError):
            await asyncio.sleep(0.1)
            continue
        status = msgspec.json.decode(reply.body)
        if status["ready"]:
            print(f"teams {len(status['teams'])}")
            return
        await asyncio.sleep(0.2)
    raise TimeoutError("the node did not become ready in time")


def _print_usage(label: str, before: usage.Usage, after: usage.Usage) -> None:
    duration_s = after.at - before.at
    print(
        f"{label}: "
        f"cpu {100 * (after.cpu_s - before.cpu_s) / duration_s:.2f}% of a "
        f"core, rss {after.rss_bytes / 2**20:.1f} MiB, sent "
        f"{(after.sent_bytes - before.sent_bytes) / duration_s:.0f} B/s, "
        f"received "
        f"{(after.received_bytes - before.received_bytes) / duration_s:.0f} "
        f"B/s, sockets {after.sockets}",
        flush=True,
    )


async def _run(nodes: int, window_s: float, factor: float) -> None:
    seed, admin = sockets.free_addresses(2)
    peer = _Peer(nodes, seed)
    peer.fill()
    client = httpclient.AsyncHTTPClient(force_instance=True)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.ini"
        path.write_text(_node_ini(seed, admin))
        started_at = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "sardinedoor_node.main", "--settings", path]
        )
        try:
            await _wait_ready(client, admin)
            print(f"boot: {time.monotonic() - started_at:.2f} s from exec")
            await asyncio.sleep(8)
            first = usage.read([process.pid])[process.pid]
            print(f"cpu since exec {first.cpu_s:.2f} s")
            await asyncio.sleep(window_s)
            idle = usage.read([process.pid])[process.pid]
            _print_usage("idle", first, idle)
            await peer.churn(window_s, factor)
            busy = usage.read([process.pid])[process.pid]
            _print_usage(f"{factor:g} times the target's churn", idle, busy)
        finally:
            process.terminate()
            process.wait()
            await peer.close()
            client.close()


def main(
    nodes: Annotated[int, typer.Option(help="Number of members.")] = 2600,
    window_s: Annotated[
        float, typer.Option(help="Length of each window, s.")
    ] = 20,
    factor: Annotated[
        float, typer.Option(help="Multiple of the target's churn.")
    ] = 10,
) -> None:
    """Prints CPU, memory and traffic of a node, idle and under churn."""
    print(
        f"{nodes} nodes, {_WORKER_COUNT} workers, "
        f"{_SERVICE_COUNT} services, {_ROUTE_COUNT}"
    )
    asyncio.run(_run(nodes, window_s, factor))


if __name__ == "__main__":
    typer.run(main)
