"""Simulated nodes that replicate what a simulated store publishes.

The nodes run the real replica, directory, anti-entropy and follower on a
virtual clock, with in-memory links between them.
"""

from __future__ import annotations

import abc
import asyncio
import random

from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import antientropy
from sardinedoor_node.published import catalog
from sardinedoor_node.published import fleet
from sardinedoor_node.published import follower
from sardinedoor_standins import memlink
from sardinedoor_standins import storesim
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime

_PORT = 7
_CUT_S = 1e6


class ItemFormat(abc.ABC):
    """Format of the published items."""

    @abc.abstractmethod
    def decoder(self) -> published.Decoder:
        """Returns a decoder of the items."""

    @abc.abstractmethod
    def configuration(self, version: int) -> tuple[str, bytes]:
        """Returns key and value of a configuration with the service `pay`."""

    @abc.abstractmethod
    def worker(self, name: str, host: str, domain: str) -> tuple[str, bytes]:
        """Returns key and value of the entry of a worker of this service."""


class TextFormat(ItemFormat):
    """The short text form for tests."""

    def decoder(self) -> published.Decoder:
        """See base class."""
        return textitems.TextDecoder()

    def configuration(self, version: int) -> tuple[str, bytes]:
        """See base class."""
        return "c", str(version).encode()

    def worker(self, name: str, host: str, domain: str) -> tuple[str, bytes]:
        """See base class."""
        value = textitems.worker_value(f"{host}:80", domain=domain)
        return textitems.WORKER + name, value


class Node:
    """A simulated node.

    Attributes:
        link: Its link address, which is also its name.
        failure_domain: Its failure domain.
        directory: Its directory of targets and peers.
        replica: Its replica of the published items.
        store: Its connection to the store.
        loop: Its event loop, which can be frozen and killed.
    """

    def __init__(
        self,
        number: int,
        failure_domain: str,
        simulation: Simulation,
        apply_s: float,
        first_start: bool = True,
    ):
        """Builds the components; `start` runs them."""
        self.link = f"{host_of(number)}:{_PORT}"
        self.failure_domain = failure_domain
        self.store = storesim.StoreReader(
            simulation.store, self.link, failure_domain
        )
        self._tasks: list[asyncio.Task] = []
        self.loop = simulation.timeline.new_loop()
        clock = virtualtime.VirtualClock(simulation.timeline)
        counters = metrics.Metrics()
        rng = random.Random(simulation.rng.random())
        self.replica = catalog.Catalog(
            simulation.item_format.decoder(),
            clock,
            counters,
            asks_peers=not first_start,
        )
        self.directory = fleet.PublishedDirectory(
            self.link, self.replica, clock
        )
        transport = memlink.MemoryTransport(
            self.link, simulation.network, self.loop, counters
        )
        self._anti_entropy = antientropy.AntiEntropy(
            self.link,
            failure_domain,
            self.replica,
            self.directory,
            transport,
            clock,
            rng,
            counters,
        )
        self._follower = follower.Follower(
            self.store,
            self.replica,
            self.directory,
            failure_domain,
            clock,
            rng,
            follower.ReadTimes.within(apply_s),
            counters,
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        configuration = self.replica.configuration
        return configuration.version if configuration else 0

    @property
    def runs(self) -> bool:
        """Whether all tasks of the node are running."""
        return not any(task.done() for task in self._tasks)

    def start(self) -> None:
        """Starts the node's tasks."""
        self._tasks += [
            self.loop.create_task(self._follower.run()),
            self.loop.create_task(self._anti_entropy.run()),
        ]


class Simulation:
    """A store and the nodes that replicate it.

    Attributes:
        timeline: The virtual clock.
        network: The links between the nodes.
        store: The store.
        nodes: The nodes.
        item_format: Format of the published items.
        version: Highest version of the configuration that was published.
        rng: Source of all random choices.
    """

    def __init__(
        self,
        node_count: int,
        domains: int,
        apply_s: float,
        seed: int,
        item_format: ItemFormat | None = None,
        faults: memlink.FrameFaults | None = None,
    ):
        """Publishes one worker for each node and starts the nodes.

        Args:
            node_count: Number of nodes.
            domains: Number of failure domains, among which they are spread.
            apply_s: Time in which a change must be in force, in s.
            seed: Seed of all random choices.
            item_format: Format of the items; None for the text form.
            faults: Faults of the links between the nodes; None for none.
        """
        self.item_format = item_format or TextFormat()
        self._apply_s = apply_s
        self.rng = random.Random(seed)
        self.timeline = virtualtime.Timeline()
        self.network = memlink.Network(self.timeline, self.rng, faults)
        self.store = storesim.Store()
        self.version = 1
        self.store.put(*self.item_format.configuration(self.version))
        self.nodes: list[Node] = []
        for number in range(1, node_count + 1):
            domain = f"d{number % domains}"
            self.publish(f"w{number}", number, domain)
            self.nodes.append(Node(number, domain, self, apply_s))
        for node in self.nodes:
            node.start()

    def publish(self, name: str, number: int, domain: str) -> None:
        """Publishes the entry of a worker, with or without a node.

        Args:
            name: Name of the worker.
            number: Number from which its address is made.
            domain: Its failure domain.
        """
        self.store.put(*self.item_format.worker(name, host_of(number), domain))

    def change(self) -> int:
        """Publishes the next version of the configuration and returns it."""
        self.version += 1
        self.store.put(*self.item_format.configuration(self.version))
        return self.version

    def run(self, seconds: float) -> None:
        """Runs all nodes for some seconds of virtual time."""
        self.timeline.run_until(self.timeline.now + seconds)

    def restart(self, number: int) -> None:
        """Kills a node and starts another process in its place.

        Args:
            number: Number of the node, from 1.
        """
        killed = self.nodes[number - 1]
        killed.loop.kill()
        started = Node(
            number, killed.failure_domain, self, self._apply_s, False
        )
        self.nodes[number - 1] = started
        started.start()

    def cut(self, nodes: list[Node], seconds: float = _CUT_S) -> None:
        """Cuts nodes off from all other nodes, but not from the store."""
        for node in nodes:
            for other in self.nodes:
                self.network.cut(node.link, other.link, seconds)
                self.network.cut(other.link, node.link, seconds)

    def refuse(self, nodes: list[Node], refused: bool = True) -> None:
        """Makes the store refuse nodes, or answer them again."""
        for node in nodes:
            node.store.refused = refused

    def behind(self, version: int) -> list[str]:
        """Lists the nodes that have an earlier version in force."""
        return [node.link for node in self.nodes if node.version < version]


def host_of(number: int) -> str:
    """Returns the IP address of a node and its worker, by the node's number."""
    return f"10.0.{number // 250}.{number % 250 + 1}"
