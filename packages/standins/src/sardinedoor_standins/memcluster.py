"""In-memory cluster: membership and settings of nodes on a virtual clock."""

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
    """Fake of the platform's HTTP client that reads an in-memory board."""

    def __init__(
        self, platform_board: board.Board, time: virtualtime.VirtualClock
    ):
        """Creates a client that reaches the board.

        Args:
            platform_board: Board that holds the published data.
            time: Clock of the node that reads.
        """
        self.board = platform_board
        self.reachable = True
        self.calls = 0
        self._clock = time

    async def _wait(self, ready, wait_s: float) -> bool:
        self.calls += 1
        await self._clock.sleep(_LATENCY_S)
        end = self._clock.monotonic() + wait_s
        while self._is_answering and not ready():
            if self._clock.monotonic() >= end:
                break
            await self._clock.sleep(_POLL_S)
        return self._is_answering

    @property
    def _is_answering(self) -> bool:
        return self.reachable and not self.board.faults.down

    async def settings_index(self, after: int, wait_s: float):
        """Returns the settings index, after a long poll for a higher one."""
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
        """Returns the subtree of a team."""
        if not await self._wait(lambda: True, 0):
            return result.Err("down")
        subtree = self.board.view().subtrees.get(team)
        return result.Ok(subtree) if subtree else result.Err("404")

    async def instances(self, after: int, wait_s: float, domain: str = ""):
        """Returns the instance list, after a long poll for a higher index."""
        if not await self._wait(
            lambda: self.board.instances_index(domain) > after, wait_s
        ):
            return result.Err("down")
        index = self.board.instances_index(domain)
        listed = self.board.instances(domain)
        return result.Ok(platform.InstanceList(index, listed))

    def close(self) -> None:
        """Does nothing, since the client holds no connection."""


class _Transport(memlink.MemoryTransport):
    """Transport that connects by address instead of by node name."""

    def connect(self, name: str, address: str) -> link.Channel:
        return super().connect(address or name, "")


@dataclasses.dataclass(slots=True)
class AppliedRevision:
    """A settings revision that came into force on a node.

    Attributes:
        at: Virtual time, in s.
        node: Name of the node.
        run: Number of the process's run, counted over the whole cluster.
        team: Name of the team.
        revision: The revision.
    """

    at: float
    node: str
    run: int
    team: str
    revision: int


class ClusterNode:
    """Simulated process of a node: membership, settings and boot."""

    def __init__(self, cluster: Cluster, name: str, domain: str, address: str):
        """Starts the process.

        Args:
            cluster: Cluster that the node belongs to.
            name: Name of the node.
            domain: Failure domain of the node.
            address: Address of its link transport.
        """
        self.name = name
        self.loop = cluster.timeline.new_loop()
        self.clock = virtualtime.VirtualClock(cluster.timeline)
        self.run = cluster.next_run_number()
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
            lambda old, new: cluster.applied_revisions.append(
                AppliedRevision(
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
        """Whether the boot sequence has finished."""
        return self.membership.anti_entropy.serving

    def states(self) -> dict[str, str]:
        """Returns the state of each peer whose incarnation is known, by name."""
        return {
            e.name: e.state.name for e in self.members.peers() if e.incarnation
        }


class Cluster:
    """Simulated nodes on one virtual clock, with an in-memory platform."""

    def __init__(self, seed: int, faults: memlink.FrameFaults | None = None):
        """Creates a cluster without nodes.

        Args:
            seed: Seed of all random choices.
            faults: Probabilities of faults per frame.
        """
        self.rng = random.Random(seed)
        self.timeline = virtualtime.Timeline()
        self.network = memlink.Network(self.timeline, self.rng, faults)
        self.board = board.Board()
        self.nodes: dict[str, ClusterNode] = {}
        self.applied_revisions: list[AppliedRevision] = []
        self.seeds: list[str] = []
        self._runs = 0

    def next_run_number(self) -> int:
        """Returns a new number for the run of a process."""
        self._runs += 1
        return self._runs

    def start(self, name: str, domain: str = "", address: str = "") -> None:
        """Starts a node, by default in the failure domain of its number."""
        if not domain:
            domain = f"fd-{int(name[1:]) % DOMAINS}"
        self.nodes[name] = ClusterNode(self, name, domain, address or name)

    def start_many(self, count: int) -> None:
        """Publishes the instances n0, n1 and so on, and starts their nodes."""
        names = [f"n{number}" for number in range(count)]
        self.publish(names)
        for name in names:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kills a node's process without a shutdown."""
        node = self.nodes.pop(name)
        node.loop.kill()
        self.network.detach(node.own.link)

    def publish(self, names: list[str], leaving: tuple[str, ...] = ()) -> None:
        """Replaces the platform's list of instances.

        Args:
            names: Names of the instances.
            leaving: Names of those that are listed as leaving.
        """
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
        """Publishes settings of a team and returns their revision."""
        return asyncio.run(self.board.put_subtree(team, text)).revision

    def set_platform_faults(self, **faults: bool) -> None:
        """Sets the platform's faults; faults that aren't named are off."""
        asyncio.run(self.board.set_faults(board.Faults(**faults)))

    def cut(self, sources, destinations, seconds: float) -> None:
        """Drops all frames from some nodes to others for some seconds."""
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.network.cut(source, destination, seconds)

    def run(self, seconds: float) -> None:
        """Advances the virtual clock by some seconds."""
        self.timeline.run_until(self.timeline.now + seconds)
