"""Membership and settings of several nodes, in memory and virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

import result

from sardinedoor_node import boot
from sardinedoor_node import metrics
from sardinedoor_node.membership import service
from sardinedoor_node.membership import table
from sardinedoor_node.platform import service as platform_service
from sardinedoor_node.settings import store
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire
from sardinedoor_standins import board
from sardinedoor_standins import memlink
from sardinedoor_standins import virtualtime

if TYPE_CHECKING:
    from sardinedoor_node import link

_INCARNATION_BYTES = 16
_POLL_S = 0.05
_LATENCY_S = 0.005
DOMAINS = 4


class BoardClient:
    """Reads a board in memory, as the HTTP client reads the platform."""

    def __init__(self, published: board.Board, time: virtualtime.VirtualClock):
        """Starts with access to the board.

        Args:
            published: The board.
            time: Clock of the reading node.
        """
        self.board = published
        self.reachable = True
        self.calls = 0
        self._clock = time

    async def _wait(self, ready, wait_s: float) -> bool:
        self.calls += 1
        await self._clock.sleep(_LATENCY_S)
        end = self._clock.monotonic() + wait_s
        while self._answers and not ready():
            if self._clock.monotonic() >= end:
                break
            await self._clock.sleep(_POLL_S)
        return self._answers

    @property
    def _answers(self) -> bool:
        return self.reachable and not self.board.faults.down

    async def settings_index(self, after: int, wait_s: float):
        """Waits for a higher index of settings."""
        if not await self._wait(
            lambda: self.board.settings_index() > after, wait_s
        ):
            return result.Err("down")
        view = self.board.view()
        teams = [
            platform.TeamRevision(s.team, s.revision)
            for s in view.subtrees.values()
        ]
        return result.Ok(platform.SettingsIndex(view.settings_index, teams))

    async def subtree(self, team: str):
        """Reads a subtree."""
        if not await self._wait(lambda: True, 0):
            return result.Err("down")
        subtree = self.board.view().subtrees.get(team)
        return result.Ok(subtree) if subtree else result.Err("404")

    async def instances(self, after: int, wait_s: float, domain: str = ""):
        """Waits for a higher index of the list."""
        if not await self._wait(
            lambda: self.board.instances_index(domain) > after, wait_s
        ):
            return result.Err("down")
        index = self.board.instances_index(domain)
        found = self.board.instances(domain)
        return result.Ok(platform.InstanceList(index, found))

    def close(self) -> None:
        """Does nothing."""


class _Transport(memlink.MemoryTransport):
    """Finds peers by address, as links over TCP do."""

    def connect(self, name: str, address: str) -> link.Channel:
        return super().connect(address or name, "")


@dataclasses.dataclass(slots=True)
class Accepted:
    """A revision that came in force on a node."""

    at: float
    node: str
    run: int
    team: str
    revision: int


class ClusterNode:
    """One process: membership, settings and boot."""

    def __init__(self, cluster: Cluster, name: str, domain: str, address: str):
        """Starts the process.

        Args:
            cluster: Its surroundings.
            name: Its name.
            domain: Its failure domain.
            address: Where its transport is reached.
        """
        self.name = name
        self.loop = cluster.timeline.new_loop()
        self.clock = virtualtime.VirtualClock(cluster.timeline)
        self.run = cluster.next_run()
        self.tasks = tasks.TaskGroup()
        rng = random.Random(cluster.rng.random())
        self.own = wire.Member(
            name,
            cluster.rng.randbytes(_INCARNATION_BYTES),
            address,
            epoch=int(self.clock.now().timestamp() * 1000),
            failure_domain=domain,
            workers=[wire.Worker(f"{name}-w", "permits")],
        )
        transport = _Transport(
            address, cluster.network, self.loop, metrics.Metrics()
        )
        self.store = store.SettingsStore()
        self.members = table.MemberTable(self.own, self.clock)
        self.membership = service.Membership(
            self.members, self.store, transport, self.clock, rng, self.tasks
        )
        self.reads = platform_service.PlatformPoller(
            "",
            self.members,
            self.store,
            self.membership.pinger,
            lambda: self.serving,
            self.clock,
            rng,
            self.tasks,
            BoardClient(cluster.board, self.clock),
        )
        self.boot = boot.Bootstrapper(
            list(cluster.seeds),
            self.members,
            self.store,
            self.membership,
            transport,
            self.reads.client,
            self.clock,
            rng,
        )
        self.store.on_team_change(
            lambda old, new: cluster.accepted.append(
                Accepted(
                    cluster.timeline.now, name, self.run, new.team, new.revision
                )
            )
        )
        self.loop.call_soon(self._start)

    def _start(self) -> None:
        self.membership.start()
        self.tasks.spawn(self._boot(), "boot")

    async def _boot(self) -> None:
        await self.boot.run(self.reads.start)
        self.membership.anti_entropy.serving = True

    @property
    def serving(self) -> bool:
        """Whether boot is done."""
        return self.membership.anti_entropy.serving

    def states(self) -> dict[str, str]:
        """Returns the state of each other member, by name."""
        return {
            e.name: e.state.name for e in self.members.peers() if e.incarnation
        }


class Cluster:
    """Nodes on one timeline, with a platform in memory."""

    def __init__(self, seed: int, faults: memlink.FrameFaults | None = None):
        """Starts without nodes.

        Args:
            seed: Seed of all randomness.
            faults: Faults of frames.
        """
        self.rng = random.Random(seed)
        self.timeline = virtualtime.Timeline()
        self.network = memlink.Network(self.timeline, self.rng, faults)
        self.board = board.Board()
        self.nodes: dict[str, ClusterNode] = {}
        self.accepted: list[Accepted] = []
        self.seeds: list[str] = []
        self._runs = 0

    def next_run(self) -> int:
        """Numbers the runs of processes."""
        self._runs += 1
        return self._runs

    def start(self, name: str, domain: str = "", address: str = "") -> None:
        """Starts a node, by default in a domain given by its number."""
        if not domain:
            domain = f"fd-{int(name[1:]) % DOMAINS}"
        self.nodes[name] = ClusterNode(self, name, domain, address or name)

    def start_many(self, count: int) -> None:
        """Publishes and starts nodes n0, n1 and so on."""
        names = [f"n{number}" for number in range(count)]
        self.publish(names)
        for name in names:
            self.start(name)

    def kill(self, name: str) -> None:
        """Ends a node without warning."""
        node = self.nodes.pop(name)
        node.loop.end()
        self.network.detach(node.own.link)

    def publish(self, names: list[str], leaving: tuple[str, ...] = ()) -> None:
        """Replaces the platform's list of instances."""
        instances = [
            platform.Instance(
                name,
                name,
                failure_domain=f"fd-{int(name[1:]) % DOMAINS}",
                state="leaving" if name in leaving else "live",
            )
            for name in names
        ]
        asyncio.run(self.board.put_instances(instances))

    def edit(self, team: str, text: str) -> int:
        """Edits settings and returns the revision."""
        return asyncio.run(self.board.put_subtree(team, text)).revision

    def faults(self, **faults: bool) -> None:
        """Sets the platform's faults; those not named are off."""
        asyncio.run(self.board.set_faults(board.Faults(**faults)))

    def cut(self, sources, destinations, seconds: float) -> None:
        """Loses all frames from some nodes to others for a while."""
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.network.cut(source, destination, seconds)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.timeline.run_until(self.timeline.now + seconds)
