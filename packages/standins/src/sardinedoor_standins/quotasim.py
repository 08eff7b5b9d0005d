"""Simulated nodes that let requests in under the quota of one organisation.

The nodes run the real quota keeper on a virtual clock, with in-memory links.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random

from sardinedoor_node import metrics
from sardinedoor_node.organisations import accounts
from sardinedoor_node.organisations import keeper
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import wire
from sardinedoor_standins import memlink
from sardinedoor_standins import virtualtime

ORGANISATION = "acme"
_DIGEST_INTERVAL_S = 0.3
_CUT_S = 1e6


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request and the decision on it.

    Attributes:
        at: When it arrived, virtual time, in s.
        node: Name of the node at which it arrived.
        decision: The decision; None while it is pending.
        decided_at: When it was decided, virtual time, in s.
    """

    at: float
    node: str
    decision: keeper.Admission | None = None
    decided_at: float = 0.0

    @property
    def admitted(self) -> bool:
        """Whether it was let in."""
        return self.decision is not None and self.decision.admitted


class Node:
    """One process of a node."""

    def __init__(self, name: str, simulation: Simulation):
        """Builds the components and starts their tasks."""
        self.name = name
        self.loop = simulation.timeline.new_loop()
        self._simulation = simulation
        time = virtualtime.VirtualClock(simulation.timeline)
        counters = metrics.Metrics()
        self._transport = memlink.MemoryTransport(
            name, simulation.network, self.loop, counters
        )
        self.keeper = keeper.QuotaKeeper(
            name,
            lambda: simulation.names,
            lambda organisation: simulation.quota,
            simulation.rules,
            self._transport,
            tasks.TaskGroup(counters, time),
            time,
            random.Random(simulation.rng.random()),
            counters,
        )
        self._transport.on_message(wire.Digest, self._on_digest)
        self.loop.create_task(self._send_digests())

    def _on_digest(self, channel, digest: wire.Digest) -> None:
        self.keeper.heard(digest.link, channel)

    async def _send_digests(self) -> None:
        rng = self._simulation.rng
        while True:
            await asyncio.sleep(_DIGEST_INTERVAL_S * rng.uniform(0.8, 1.2))
            peer = rng.choice(self._simulation.names)
            if peer != self.name:
                self._transport.connect(peer, peer).send(
                    wire.Digest(self.name, 1, 0)
                )

    def arrive(self, arrival: Arrival) -> None:
        """Starts the decision on a request."""
        self.loop.deliver(lambda: self._start(arrival))

    def _start(self, arrival: Arrival) -> None:
        self.loop.create_task(self._decide(arrival))

    async def _decide(self, arrival: Arrival) -> None:
        arrival.decision = await self.keeper.admit(
            ORGANISATION, self._simulation.quota
        )
        arrival.decided_at = self._simulation.timeline.now


class Simulation:
    """Nodes, and the requests of one organisation.

    Attributes:
        timeline: The virtual clock.
        network: The links between the nodes.
        rng: Source of all random choices.
        rules: Terms of the quotas.
        quota: Quota of the organisation in force.
        names: Names of all nodes.
        arrivals: All requests in order of arrival.
    """

    def __init__(
        self, node_count: int, quota: accounts.Quota, rng: random.Random
    ):
        """Starts the nodes.

        Args:
            node_count: Number of nodes.
            quota: Quota of the organisation.
            rng: Source of all random choices.
        """
        self.timeline = virtualtime.Timeline()
        self.rng = rng
        self.network = memlink.Network(self.timeline, rng)
        self.rules = accounts.QuotaRules()
        self.quota = quota
        self.names = [f"10.0.{n // 250}.{n % 250}:7" for n in range(node_count)]
        self.arrivals: list[Arrival] = []
        self._nodes = {name: Node(name, self) for name in self.names}
        self._cut: set[str] = set()

    def request(self, at: float, name: str) -> None:
        """Schedules a request at a node.

        Args:
            at: Virtual time, in s.
            name: Name of the node.
        """
        arrival = Arrival(at, name)

        def arrive() -> None:
            self.arrivals.append(arrival)
            self._nodes[name].arrive(arrival)

        self.timeline.call_at(at, arrive)

    def restart(self, name: str) -> None:
        """Kills a node and starts another process in its place."""
        self._nodes[name].loop.kill()
        self._nodes[name] = Node(name, self)

    def freeze(self, name: str, seconds: float) -> None:
        """Pauses a node."""
        self._nodes[name].loop.freeze(seconds)

    def cut(self, name: str) -> None:
        """Cuts a node off from all others, until the end."""
        self._cut.add(name)
        for other in self.names:
            self.network.cut(name, other, _CUT_S)
            self.network.cut(other, name, _CUT_S)

    def most_admitted(self, window_s: float, since: float = 0.0) -> int:
        """Returns the most requests let in within a window.

        Args:
            window_s: Length of the window, in s.
            since: Earliest begin of the window, virtual time, in s.
        """
        times = sorted(
            a.decided_at
            for a in self.arrivals
            if a.admitted and a.decided_at >= since
        )
        most = 0
        first = 0
        for last, time in enumerate(times):
            while times[first] < time - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def owed(self, quota: accounts.Quota) -> list[Arrival]:
        """Lists the requests that an exact token bucket would let in.

        Requests at nodes that are cut off are left out.
        """
        tokens = quota.burst
        updated_at = 0.0
        found = []
        for arrival in self.arrivals:
            gained = quota.rate * (arrival.at - updated_at)
            tokens = min(quota.burst, tokens + gained)
            updated_at = arrival.at
            if tokens >= 1:
                tokens -= 1
                if arrival.node not in self._cut:
                    found.append(arrival)
        return found
