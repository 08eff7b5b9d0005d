"""Simulated nodes that gossip, and retain what the test says.

They run the real anti-entropy on a virtual clock. What a replica retains doesn't
follow from what it is given.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
import zlib

from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import antientropy
from sardinedoor_node.published import catalog
from sardinedoor_node.published import fleet
from sardinedoor_schema import base
from sardinedoor_schema.generated import wire
from sardinedoor_standins import memlink
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime

if TYPE_CHECKING:
    from collections.abc import Sequence

_UNKNOWN = published.UNKNOWN_EPOCH
_OUTSIDER = "10.9.9.9:7"
# With time to spare, since the callers look only at intervals.
ROUND_TRIP_S = 3.0 * memlink.DELAY_S


class ScriptedReplica(catalog.Catalog):
    """A replica whose retained items are set by the test.

    Attributes:
        kept: The retained items, by key.
        kept_on_restore: Items that are retained once the epoch has risen.
        takes_updates: Whether updates are applied.
        merges: Whether the retained items of peers are merged.
        reasons: Why its first content was admitted.
    """

    def __init__(self, time: virtualtime.VirtualClock, asks_peers: bool):
        """Creates an empty replica that retains nothing.

        Args:
            time: Source of the monotonic time.
            asks_peers: Whether it awaits peers once the store has filled it.
        """
        super().__init__(
            textitems.TextDecoder(), time, metrics.Metrics(), asks_peers
        )
        self.kept: dict[str, wire.RetainedItem] = {}
        self.kept_on_restore: dict[str, wire.RetainedItem] = {}
        self.takes_updates = True
        self.merges = True
        self.reasons: list[str] = []

    def admit(self, reason: str) -> None:
        """See base class."""
        self.reasons.append(reason)
        super().admit(reason)

    @property
    def retained_checksum(self) -> int:
        """See base class."""
        parts = [
            f"{k}={v.item.revision}={v.item.value}"
            for k, v in sorted(self.kept.items())
        ]
        return zlib.crc32("/".join(parts).encode())

    def retained_items(self) -> list[wire.RetainedItem]:
        """See base class."""
        return list(self.kept.values())

    def apply(
        self,
        update: published.Update,
        origin: str,
        kept: Sequence[wire.RetainedItem] = (),
    ) -> bool:
        """See base class; of two retained items the higher revision holds."""
        if not self.takes_updates:
            return False
        # Listeners are told of an update once all of it is in place.
        if update.epoch > self.version.epoch != _UNKNOWN:
            self.kept.update(self.kept_on_restore)
        if self.merges and update.epoch >= self.version.epoch:
            for item in kept:
                self._take(item)
        return super().apply(update, origin)

    def _take(self, kept: wire.RetainedItem) -> None:
        known = self.kept.get(kept.item.key)
        if known is None or known.item.revision < kept.item.revision:
            self.kept[kept.item.key] = kept


class Node:
    """A simulated node.

    Attributes:
        link: Its link address, which is also its name.
        loop: Its event loop.
        replica: Its replica.
    """

    def __init__(
        self, number: int, domain: str, nodes: Nodes, asks_peers: bool
    ):
        """Starts the node with an empty replica."""
        self.link = link_of(number)
        self.loop = nodes.timeline.new_loop()
        time = virtualtime.VirtualClock(nodes.timeline)
        self.replica = ScriptedReplica(time, asks_peers)
        transport = memlink.MemoryTransport(
            self.link, nodes.network, self.loop, metrics.Metrics()
        )
        anti_entropy = antientropy.AntiEntropy(
            self.link,
            domain,
            self.replica,
            fleet.PublishedDirectory(self.link, self.replica, time),
            transport,
            time,
            random.Random(number),
            metrics.Metrics(),
        )
        self._task = self.loop.create_task(anti_entropy.run())

    def fill(self, version: tuple[int, int], domains: str) -> None:
        """Fills the replica from the store, with an entry for each node.

        Args:
            version: Epoch and revision.
            domains: Failure domains of the nodes, a letter each.
        """
        items = [
            wire.Item(
                f"{textitems.WORKER}{number}",
                number,
                textitems.worker_value(f"{_host(number)}:80", domain=domain),
            )
            for number, domain in enumerate(domains, 1)
        ]
        update = published.Update(version[1], items, True, version[0])
        self.replica.apply(update, "store")
        self.replica.confirm_current(0.0)

    def keep(self, *keys: str, value: bytes = b"1") -> None:
        """Retains items."""
        self.replica.kept.update(retained(*keys, value=value))

    @property
    def kept(self) -> list[str]:
        """Keys of the retained items."""
        return sorted(self.replica.kept)


class Nodes:
    """Nodes that gossip with each other.

    Attributes:
        timeline: The virtual clock.
        network: The links between the nodes.
        nodes: The nodes that run.
        sent: The messages of all nodes.
    """

    def __init__(self) -> None:
        """Begins without nodes."""
        self.timeline = virtualtime.Timeline()
        self.network = memlink.Network(self.timeline, random.Random(1))
        self.network.script = self._record
        self.nodes: list[Node] = []
        self.sent: list[base.Message] = []
        self._domains = ""

    def _record(self, message: base.Message) -> None:
        self.sent.append(message)

    def start(
        self, domains: str, version: tuple[int, int] = (1, 9)
    ) -> list[Node]:
        """Kills all nodes and starts others that are at the same version.

        Args:
            domains: Failure domain of each, a letter each.
            version: Epoch and revision.
        """
        for node in self.nodes:
            node.loop.kill()
        self._domains = domains
        self.nodes = [
            Node(number, domain, self, False)
            for number, domain in enumerate(domains, 1)
        ]
        for node in self.nodes:
            node.fill(version, domains)
        self.run(ROUND_TRIP_S)
        self.sent.clear()
        return self.nodes

    def start_waiting(self, domains: str, version: tuple[int, int]) -> None:
        """Starts further nodes, which have a first copy of the store.

        Args:
            domains: Failure domain of each, a letter each.
            version: Epoch and revision of the copy.
        """
        first = len(self._domains) + 1
        self._domains += domains
        started = [
            Node(number, domain, self, True)
            for number, domain in enumerate(domains, first)
        ]
        self.nodes += started
        self.run(0.01)
        self.sent.clear()
        for node in started:
            node.fill(version, self._domains)

    def run(self, seconds: float) -> None:
        """Runs all nodes for some seconds of virtual time."""
        self.timeline.run_until(self.timeline.now + seconds)

    def run_until_used(self, node: Node) -> float:
        """Runs until a node uses its copy; returns the time that it took."""
        began_at = self.timeline.now
        while node.replica.awaits_peers and self.timeline.now < began_at + 5.0:
            self.run(0.001)
        return self.timeline.now - began_at

    def cut(self, name: str) -> None:
        """Cuts a node, which need not run yet, off from those that run."""
        for node in self.nodes:
            self.network.cut(name, node.link, 1e6)
            self.network.cut(node.link, name, 1e6)

    def count(self, *classes: type) -> int:
        """Returns the number of messages of some classes that were sent."""
        return sum(isinstance(message, classes) for message in self.sent)

    def answers(self, node: Node, message: base.Message) -> list[base.Message]:
        """Sends a message of an unlisted peer to a node.

        Returns:
            The answers to it.
        """
        found: list[base.Message] = []
        peer = memlink.MemoryTransport(
            _OUTSIDER, self.network, node.loop, metrics.Metrics()
        )
        for cls in (wire.Digest, wire.ItemsPull, wire.Items):
            peer.on_message(cls, lambda _, answer: found.append(answer))
        if isinstance(message, wire.Digest):
            message.link = _OUTSIDER
        peer.connect(node.link, "").send(message)
        self.run(ROUND_TRIP_S)
        return found


def retained(*keys: str, value: bytes = b"1") -> dict[str, wire.RetainedItem]:
    """Returns retained items by key, all with the same value."""
    return {k: wire.RetainedItem(wire.Item(k, 1, value), 0) for k in keys}


def link_of(number: int) -> str:
    """Returns the link address of a node, by its number from 1."""
    return f"{_host(number)}:7"


def _host(number: int) -> str:
    return f"10.0.0.{number}"
