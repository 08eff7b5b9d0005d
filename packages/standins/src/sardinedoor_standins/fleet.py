"""Starts and stops a small fleet of separate processes."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec
from tornado import httpclient

from sardinedoor_schema.generated import platform
from sardinedoor_standins import board
from sardinedoor_standins import relay
from sardinedoor_standins import sockets
from sardinedoor_standins import target

START_TIMEOUT_S = 20.0
_HOST_RANGE = 250
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.05
_SEEDS = 3
_STATUS_TIMEOUT_S = 0.5
_RELAY = "relay"

free_addresses = sockets.free_addresses


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
    advertised: str = ""
    admin: str = ""


@dataclasses.dataclass(slots=True)
class Plan:
    """A fleet: its nodes, and the settings by team.

    With `relayed`, links between nodes pass a relay, which adds the delay
    between failure domains, in ms one way, and takes faults.
    """

    nodes: list[NodePlan]
    settings: dict[str, str]
    domain_delay_ms: float = 0.0
    relayed: bool = False


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
        self.platform_address, self._control = sockets.free_addresses(2)
        self._assign()

    def _assign(self) -> None:
        for number, node in enumerate(self.plan.nodes, 1):
            node.public, node.internal, node.admin, node.advertised = (
                sockets.free_addresses(4)
            )
            # The relay tells nodes apart by the IP number of their links.
            high, low = divmod(number, _HOST_RANGE)
            host = f"127.0.{high + 1}.{low}"
            node.link = sockets.free_addresses(1, host)[0]
            if not self.plan.relayed:
                node.advertised = node.link
            addresses = sockets.free_addresses(len(node.workers))
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
        if self.plan.relayed:
            await self._start_relay()
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

    async def _start_relay(self) -> None:
        routes = [
            relay.Route(n.name, n.failure_domain, n.advertised, n.link)
            for n in self.plan.nodes
        ]
        path = self._folder / "relay.json"
        layout = relay.Layout(routes)
        path.write_bytes(msgspec.json.encode(layout))
        self._spawn(
            _RELAY,
            "sardinedoor_standins.relay",
            [f"--layout={path}", f"--control={self._control}"],
        )
        await self.wait_http(f"http://{self._control}/faults")
        await self.cut()

    async def cut(self, *pairs: tuple[str, str]) -> None:
        """Cuts links one way; those cut before are healed.

        Args:
            *pairs: Source and destination, each a node, a failure domain or
                `*` for all.
        """
        cuts = [relay.Cut(*pair) for pair in pairs]
        faults = relay.Faults(self.plan.domain_delay_ms, cuts=cuts)
        await self._http.fetch(
            f"http://{self._control}/faults",
            method="PUT",
            body=msgspec.json.encode(faults),
        )

    async def silence(self) -> None:
        """Makes all open links go silent for good; new ones work."""
        await self._http.fetch(
            f"http://{self._control}/silence", method="PUT", body=b""
        )

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
            f"link_advertised = {node.advertised}",
            f"admin = {node.admin}",
            f"platform = {self.platform_address}",
            f"seeds = {', '.join(self._seeds(node))}",
        ]
        for worker in node.workers:
            lines += [
                f"[worker {worker.name}]",
                f"service = {worker.service}",
                f"address = {worker.address}",
            ]
        return "\n".join(lines) + "\n"

    def _seeds(self, node: NodePlan) -> list[str]:
        """Names peers to ask while the platform is down."""
        others = [n.advertised for n in self.plan.nodes if n is not node]
        return others[:_SEEDS]

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def edit(self, team: str, text: str) -> int:
        """Edits a team's settings at the platform, as an operator does.

        Returns:
            The revision of the edit.
        """
        response = await self._http.fetch(
            f"http://{self.platform_address}/edit/settings/{team}",
            method="PUT",
            body=text,
        )
        subtree = msgspec.json.decode(response.body, type=platform.Subtree)
        return subtree.revision

    async def set_platform_faults(self, faults: board.Faults) -> None:
        """Switches faults of the platform's stand-in on and off."""
        await self._http.fetch(
            f"http://{self.platform_address}/edit/faults",
            method="PUT",
            body=msgspec.json.encode(faults),
        )

    async def publish(self, leaving: tuple[str, ...] = ()) -> None:
        """Publishes the list of instances.

        Args:
            leaving: Names of instances listed as leaving.
        """
        instances = [
            platform.Instance(
                node.name,
                node.advertised,
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
        names = {n.name for n in self.plan.nodes if n.name in self._processes}
        while time.monotonic() < end:
            status = await self.status(node)
            alive = {m["name"] for m in status["members"] if m["alive"]}
            if status["ready"] and names <= alive:
                return
            await asyncio.sleep(_POLL_S)
        missing = ", ".join(sorted(names - alive))
        raise TimeoutError(
            f"{node.name} is not ready; it doesn't see: {missing or 'settings'}"
        )

    async def status(self, node: NodePlan) -> dict:
        """Reads a node's status page."""
        body = await self.wait_http(f"http://{node.admin}/status")
        return msgspec.json.decode(body)

    async def status_once(self, node: NodePlan) -> dict:
        """Reads a node's status page.

        Raises:
            OSError: The node didn't answer in time.
        """
        request = httpclient.HTTPRequest(
            f"http://{node.admin}/status",
            connect_timeout=_STATUS_TIMEOUT_S,
            request_timeout=_STATUS_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request)
        except httpclient.HTTPError as e:
            raise OSError(str(e)) from e
        return msgspec.json.decode(response.body)

    async def behave(
        self, worker: WorkerPlan, behaviour: target.Behaviour
    ) -> None:
        """Changes how a target treats real work."""
        await self._http.fetch(
            f"http://{worker.address}/-/control",
            method="PUT",
            body=msgspec.json.encode(behaviour),
        )

    async def runs(self, worker: WorkerPlan) -> list[target.Run]:
        """Reads a target's own run log."""
        body = await self.wait_http(f"http://{worker.address}/-/control")
        return msgspec.json.decode(body, type=list[target.Run])

    async def ejected(self, node: NodePlan) -> set[str]:
        """Lists the targets that are ejected as a node sees it."""
        status = await self.status(node)
        return {t["worker"] for t in status["targets"] if t["ejected"]}

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
