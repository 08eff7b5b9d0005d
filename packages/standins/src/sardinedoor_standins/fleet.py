"""Runs a small fleet as separate processes on one machine.

The processes are the nodes, the fake targets of each node, a fake platform that
publishes settings and instances, and optionally a relay between the nodes.
"""

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
_HOSTS_PER_SUBNET = 250
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.05
_MAX_SEEDS = 3
_STATUS_TIMEOUT_S = 0.5
_RELAY_PROCESS = "relay"

free_addresses = sockets.free_addresses


@dataclasses.dataclass(slots=True)
class WorkerPlan:
    """A worker of a node and its fake target.

    Attributes:
        name: Name of the worker.
        service: Service of the worker.
        address: Address of the fake target; assigned by `Fleet`.
    """

    name: str
    service: str
    address: str = ""


@dataclasses.dataclass(slots=True)
class NodePlan:
    """A node and the addresses of its listeners, which `Fleet` assigns.

    Attributes:
        name: Name of the node.
        region: Region of the node.
        failure_domain: Failure domain of the node.
        workers: Workers of the node.
        public: Listener for callers outside the fleet.
        internal: Listener for callers that are services of the fleet.
        link: Listener for links from other nodes.
        advertised: Address at which other nodes reach the link listener; with
            a relay it is an address of the relay.
        admin: Listener for metrics and status.
    """

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
    """Nodes and settings of a fleet.

    Attributes:
        nodes: Nodes to start.
        settings: Text of the settings by team.
        domain_delay_ms: One-way delay between failure domains, in ms; only
            with `relayed`.
        relayed: Whether the links between nodes pass through a relay, which
            adds the delay and injects faults.
    """

    nodes: list[NodePlan]
    settings: dict[str, str]
    domain_delay_ms: float = 0.0
    relayed: bool = False


class Fleet:
    """Processes of one fleet; `close` kills those that still run."""

    def __init__(self, plan: Plan, folder: pathlib.Path):
        """Assigns addresses and writes the settings files.

        Args:
            plan: Nodes and settings of the fleet.
            folder: Folder for settings files and logs.
        """
        self.plan = plan
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.platform_address, self._relay_control_address = (
            sockets.free_addresses(2)
        )
        self._assign_addresses()

    def _assign_addresses(self) -> None:
        for number, node in enumerate(self.plan.nodes, 1):
            node.public, node.internal, node.admin, node.advertised = (
                sockets.free_addresses(4)
            )
            # The relay identifies a node by the IP address of its link.
            high, low = divmod(number, _HOSTS_PER_SUBNET)
            host = f"127.0.{high + 1}.{low}"
            node.link = sockets.free_addresses(1, host)[0]
            if not self.plan.relayed:
                node.advertised = node.link
            addresses = sockets.free_addresses(len(node.workers))
            for worker, address in zip(node.workers, addresses, strict=True):
                worker.address = address

    def node(self, name: str) -> NodePlan:
        """Returns the plan of a node."""
        return next(n for n in self.plan.nodes if n.name == name)

    def pid(self, name: str) -> int:
        """Returns the process id of a node, `targets-NODE` or `platform`.

        The process `targets-NODE` serves all fake targets of the node.
        """
        return self._processes[name].pid

    async def start(self) -> None:
        """Starts all processes and waits until every node is ready."""
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
            _RELAY_PROCESS,
            "sardinedoor_standins.relay",
            [f"--layout={path}", f"--control={self._relay_control_address}"],
        )
        await self.wait_http(f"http://{self._relay_control_address}/faults")
        await self.cut()

    async def cut(self, *pairs: tuple[str, str]) -> None:
        """Replaces all cuts of links; each cut affects one direction.

        Args:
            *pairs: Source and destination of each cut, which are nodes,
                failure domains or `*` for all. Without pairs all cuts end.
        """
        cuts = [relay.Cut(*pair) for pair in pairs]
        faults = relay.Faults(self.plan.domain_delay_ms, cuts=cuts)
        await self._http.fetch(
            f"http://{self._relay_control_address}/faults",
            method="PUT",
            body=msgspec.json.encode(faults),
        )

    async def silence(self) -> None:
        """Drops all further bytes of the open links, but not of new links."""
        await self._http.fetch(
            f"http://{self._relay_control_address}/silence",
            method="PUT",
            body=b"",
        )

    def spawn_platform(self) -> None:
        """Starts the process of the fake platform."""
        self._spawn(
            "platform",
            "sardinedoor_standins.platform",
            [f"--address={self.platform_address}"],
        )

    def spawn_targets(self, node: NodePlan) -> None:
        """Starts the process of all fake targets of a node."""
        arguments = []
        for worker in node.workers:
            arguments.append(f"--address={worker.address}")
            arguments.append(f"--name={worker.name}")
        self._spawn(
            f"targets-{node.name}", "sardinedoor_standins.target", arguments
        )

    def spawn_node(self, node: NodePlan) -> None:
        """Writes a node's settings file and starts its daemon."""
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
        """Returns the link addresses that the node contacts to join."""
        others = [n.advertised for n in self.plan.nodes if n is not node]
        return others[:_MAX_SEEDS]

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def edit(self, team: str, text: str) -> int:
        """Publishes new settings of a team at the fake platform.

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
        """Replaces the injected faults of the fake platform."""
        await self._http.fetch(
            f"http://{self.platform_address}/edit/faults",
            method="PUT",
            body=msgspec.json.encode(faults),
        )

    async def publish(self, leaving: tuple[str, ...] = ()) -> None:
        """Publishes the list of instances at the platform.

        Args:
            leaving: Names of the instances that are listed as leaving.
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
        """Polls a URL until it answers with success, and returns the body.

        Raises:
            OSError: Nothing answered within `START_TIMEOUT_S`.
            httpclient.HTTPError: The last answer was an error or a timeout.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return (await self._http.fetch(url)).body
            except (OSError, httpclient.HTTPError):
                if time.monotonic() > end:
                    raise
            await asyncio.sleep(_POLL_S)

    async def wait_ready(self, node: NodePlan) -> None:
        """Waits until a node is ready and sees all running nodes alive.

        Raises:
            TimeoutError: The node wasn't ready within `START_TIMEOUT_S`.
        """
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
            f"{node.name} is not ready; missing: {missing or 'settings'}"
        )

    async def status(self, node: NodePlan) -> dict:
        """Reads a node's status page, and retries until it answers."""
        body = await self.wait_http(f"http://{node.admin}/status")
        return msgspec.json.decode(body)

    async def status_once(self, node: NodePlan) -> dict:
        """Reads a node's status page in a single attempt.

        Raises:
            OSError: The node didn't answer within `_STATUS_TIMEOUT_S`.
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

    async def set_behaviour(
        self, worker: WorkerPlan, behaviour: target.Behaviour
    ) -> None:
        """Replaces the service time and injected faults of a target."""
        await self._http.fetch(
            f"http://{worker.address}/-/control",
            method="PUT",
            body=msgspec.json.encode(behaviour),
        )

    async def runs(self, worker: WorkerPlan) -> list[target.Run]:
        """Reads the run log of a target."""
        body = await self.wait_http(f"http://{worker.address}/-/control")
        return msgspec.json.decode(body, type=list[target.Run])

    async def ejected_workers(self, node: NodePlan) -> set[str]:
        """Returns the workers of the targets that a node reports as ejected."""
        status = await self.status(node)
        return {t["worker"] for t in status["targets"] if t["ejected"]}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the fleet."""
        os.kill(self.pid(name), number)

    async def stop(self, name: str) -> int:
        """Stops a process by SIGTERM and returns its exit code.

        The process is killed if it still runs after `_STOP_TIMEOUT_S`.
        """
        process = self._processes.pop(name)
        process.terminate()
        end = time.monotonic() + _STOP_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(_POLL_S)
        if process.poll() is None:
            process.kill()
        return process.wait()

    def kill(self, name: str) -> None:
        """Kills a process by SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kills all processes that still run."""
        for name in list(self._processes):
            process = self._processes[name]
            process.send_signal(signal.SIGCONT)
            self.kill(name)
        self._http.close()
