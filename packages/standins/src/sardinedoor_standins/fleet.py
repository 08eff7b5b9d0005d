"""Starts and stops a small fleet of separate processes."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import msgspec
from tornado import httpclient

from sardinedoor_schema.generated import platform

START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.05
_LOOPBACK = "127.0.0.1"
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS = random.SystemRandom()


@dataclasses.dataclass(slots=True)
class WorkerPlan:
    """A target to start behind a node."""

    name: str
    service: str
    address: str = ""


@dataclasses.dataclass(slots=True)
class NodePlan:
    """A node to start."""

    name: str
    region: str
    failure_domain: str
    workers: list[WorkerPlan]
    public: str = ""
    internal: str = ""
    link: str = ""
    admin: str = ""


@dataclasses.dataclass(slots=True)
class Plan:
    """A fleet: its nodes, and the settings by team."""

    nodes: list[NodePlan]
    settings: dict[str, str]


def free_addresses(count: int) -> list[str]:
    """Finds loopback addresses that are free now.

    The ports lie below those that the system gives to outgoing connections,
    so that none is taken between this call and its use.
    """
    found: list[str] = []
    while len(found) < count:
        port = _PORTS.randrange(_FIRST_PORT, _LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                continue
        address = f"{_LOOPBACK}:{port}"
        if address not in found:
            found.append(address)
    return found


class Fleet:
    """Processes of one fleet; all are ended by `close`."""

    def __init__(self, plan: Plan, folder: pathlib.Path):
        """Assigns addresses and writes the settings files.

        Args:
            plan: What to start.
            folder: Where settings files and logs go.
        """
        self.plan = plan
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.platform_address = free_addresses(1)[0]
        self._assign()

    def _assign(self) -> None:
        for node in self.plan.nodes:
            node.public, node.internal, node.link, node.admin = free_addresses(
                4
            )
            addresses = free_addresses(len(node.workers))
            for worker, address in zip(node.workers, addresses, strict=True):
                worker.address = address

    def node(self, name: str) -> NodePlan:
        """Finds a node's plan."""
        return next(n for n in self.plan.nodes if n.name == name)

    def pid(self, name: str) -> int:
        """Returns the process id of a node, `targets-NODE` or `platform`."""
        return self._processes[name].pid

    async def start(self) -> None:
        """Starts all processes and waits until each node is ready."""
        self.spawn_platform()
        for node in self.plan.nodes:
            self.spawn_targets(node)
        await self.wait_http(f"http://{self.platform_address}/edit/reads")
        for team, text in self.plan.settings.items():
            await self.edit(team, text)
        await self.publish()
        for node in self.plan.nodes:
            self.spawn_node(node)
        for node in self.plan.nodes:
            await self.wait_ready(node)

    def spawn_platform(self) -> None:
        """Starts the stand-in of the platform."""
        self._spawn(
            "platform",
            "sardinedoor_standins.platform",
            [f"--address={self.platform_address}"],
        )

    def spawn_targets(self, node: NodePlan) -> None:
        """Starts the targets of a node, in one process."""
        arguments = []
        for worker in node.workers:
            arguments.append(f"--address={worker.address}")
            arguments.append(f"--name={worker.name}")
        self._spawn(
            f"targets-{node.name}", "sardinedoor_standins.target", arguments
        )

    def spawn_node(self, node: NodePlan) -> None:
        """Starts the daemon of a node."""
        path = self._folder / f"{node.name}.ini"
        path.write_text(self._node_ini(node))
        self._spawn(node.name, "sardinedoor_node.main", [f"--settings={path}"])

    def _node_ini(self, node: NodePlan) -> str:
        lines = [
            "[node]",
            f"name = {node.name}",
            f"region = {node.region}",
            f"failure_domain = {node.failure_domain}",
            f"public = {node.public}",
            f"internal = {node.internal}",
            f"link = {node.link}",
            f"admin = {node.admin}",
            f"platform = {self.platform_address}",
        ]
        for worker in node.workers:
            lines += [
                f"[worker {worker.name}]",
                f"service = {worker.service}",
                f"address = {worker.address}",
            ]
        return "\n".join(lines) + "\n"

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def edit(self, team: str, text: str) -> None:
        """Edits a team's settings at the platform, as an operator does."""
        await self._http.fetch(
            f"http://{self.platform_address}/edit/settings/{team}",
            method="PUT",
            body=text,
        )

    async def publish(self, leaving: tuple[str, ...] = ()) -> None:
        """Publishes the list of instances.

        Args:
            leaving: Names of instances listed as leaving.
        """
        instances = [
            platform.Instance(
                node.name,
                node.link,
                node.region,
                node.failure_domain,
                "leaving" if node.name in leaving else "live",
            )
            for node in self.plan.nodes
        ]
        await self._http.fetch(
            f"http://{self.platform_address}/edit/instances",
            method="PUT",
            body=msgspec.json.encode(instances),
        )

    async def wait_http(self, url: str) -> bytes:
        """Waits until an address answers 200, and returns the body."""
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return (await self._http.fetch(url)).body
            except (OSError, httpclient.HTTPError):
                if time.monotonic() > end:
                    raise
            await asyncio.sleep(_POLL_S)

    async def wait_ready(self, node: NodePlan) -> None:
        """Waits until a node serves and sees all other nodes alive."""
        end = time.monotonic() + START_TIMEOUT_S
        count = len(self.plan.nodes)
        while time.monotonic() < end:
            status = await self.status(node)
            alive = sum(m["alive"] for m in status["members"])
            if status["ready"] and alive == count:
                return
            await asyncio.sleep(_POLL_S)
        raise TimeoutError(f"{node.name} is not ready")

    async def status(self, node: NodePlan) -> dict:
        """Reads a node's status page."""
        body = await self.wait_http(f"http://{node.admin}/status")
        return msgspec.json.decode(body)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet started."""
        os.kill(self.pid(name), number)

    async def stop(self, name: str) -> int:
        """Stops a process as planned and returns its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        end = time.monotonic() + _STOP_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(_POLL_S)
        if process.poll() is None:
            process.kill()
        return process.wait()

    def kill(self, name: str) -> None:
        """Kills a process without warning."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Ends every process that is left."""
        for name in list(self._processes):
            process = self._processes[name]
            process.send_signal(signal.SIGCONT)
            self.kill(name)
        self._http.close()
