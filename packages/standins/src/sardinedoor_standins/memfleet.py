"""A few nodes in memory, running the real exchange in virtual time."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from sardinedoor_node import metrics
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import routes
from sardinedoor_node.membership import table
from sardinedoor_node.owner import crashnotices
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import listagequery
from sardinedoor_node.owner import placement
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import workers
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import twochoices
from sardinedoor_node.settings import store
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import settings
from sardinedoor_schema.generated import wire
from sardinedoor_standins import faketarget
from sardinedoor_standins import memlink
from sardinedoor_standins import virtualtime

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

SERVICE = "ledger"
TEAM = "office"
_INCARNATION_BYTES = 16


@dataclasses.dataclass(slots=True)
class Send:
    """One request of a caller, and what the caller was told."""

    send_id: str
    body: bytes
    idempotent: bool
    key: str = ""
    timeout_s: float = 2.0
    sent: float = 0.0
    answered: float = 0.0
    outcome: forward.ForwardResult | None = None

    def job(self, now: float, route: routes.Route) -> attempt.Job:
        """Builds the job at the node that the request reached."""
        return attempt.Job(
            request=wire.Request(
                "GET" if self.idempotent else "POST",
                "/pay",
                [wire.Header(faketarget.SEND_ID, self.send_id)],
                self.body,
            ),
            service=route.settings.service,
            idempotent=self.idempotent,
            deadline=now + self.timeout_s,
            organisation="stall-7",
            key=self.key,
            priority=route.settings.priority,
            team=route.team,
            revision=route.revision,
        )


class MemoryNode:
    """One process of the daemon, without its listeners."""

    def __init__(self, fleet: MemoryFleet, name: str, skew_s: float):
        """Starts the process.

        Args:
            fleet: Its surroundings.
            name: Its name.
            skew_s: How far its time of day is ahead, in s.
        """
        self.name = name
        self.fleet = fleet
        self.loop = fleet.timeline.new_loop()
        self.clock = virtualtime.VirtualClock(fleet.timeline, skew_s)
        self.counters = metrics.Metrics()
        self.tasks = tasks.TaskGroup()
        incarnation = fleet.rng.randbytes(_INCARNATION_BYTES)
        own = fleet.targets_of(name)
        self.member = wire.Member(
            name,
            incarnation,
            name,
            workers=[wire.Worker(worker, SERVICE) for worker in own],
        )
        self.members = table.MemberTable(self.member)
        self.store = store.SettingsStore()
        self._wire(incarnation, own)

    def _wire(self, incarnation: bytes, own: list[str]) -> None:
        fleet = self.fleet
        transport = memlink.MemoryTransport(
            self.name, fleet.network, self.loop, self.counters
        )
        key_homes = placement.KeyPlacement(self.store, self.clock)
        self.store.apply(fleet.subtree)
        list_ages = listagequery.ListAgeQuery(
            [SERVICE],
            key_homes,
            self.members,
            transport,
            self.clock,
            random.Random(fleet.rng.random()),
        )
        self.loop.call_soon(lambda: self.tasks.spawn(list_ages.run()))
        notifier = crashnotices.CrashNotifier(
            self.members, transport, self.clock
        )
        crash_suspects = quarantine.CrashQuarantine(
            notifier.notify, self.counters, self.clock
        )
        local = {worker: self._worker(worker) for worker in own}
        self.owner = exchange.Owner(
            incarnation,
            local,
            key_homes,
            crash_suspects,
            self.counters,
            self.clock,
        )
        table_of_exchanges = exchanges.ExchangeTable(
            incarnation, self.counters, self.clock
        )
        self.forwarder = forward.Forwarder(
            self.members,
            transport,
            twochoices.TwoChoicesPicker(
                random.Random(fleet.rng.random()),
                self.clock,
                tracking.Location(self.name),
                self.store.floor,
            ),
            table_of_exchanges,
            key_homes,
            fleet.policy,
            self.counters,
            self.clock,
        )
        register = transport.on_message
        register(wire.Offer, self.owner.on_offer)
        register(wire.Go, self.owner.on_go)
        register(wire.Cancel, self.owner.on_cancel)
        register(wire.CrashNotice, crash_suspects.on_notice)
        register(wire.ListAgeRequest, list_ages.on_request)
        register(wire.ListAge, list_ages.on_answer)
        for cls in (wire.Held, wire.Reply, wire.Refusal):
            register(cls, table_of_exchanges.on_message)

    def _worker(self, name: str) -> workers.LocalWorker:
        client = faketarget.FakeTargetClient(
            self.fleet.targets[name], self.fleet.timeline, self.loop
        )
        return workers.LocalWorker(
            name, settings.WorkerSettings(SERVICE, "127.0.0.1:1"), client
        )

    async def serve(self, send: Send) -> None:
        """Serves a caller's request."""
        subtree = self.store.subtrees[TEAM]
        route = routes.Route(
            "pay", TEAM, subtree.revision, subtree.routes["pay"]
        )
        job = send.job(self.clock.monotonic(), route)
        send.outcome = await self.forwarder.forward(job)
        send.answered = self.clock.monotonic()


class MemoryFleet:
    """Nodes, their targets, and the network between them."""

    def __init__(
        self,
        timeline: virtualtime.Timeline,
        seed: int,
        nodes: int = 3,
        workers_each: int = 1,
        frame_faults: memlink.FrameFaults | None = None,
        target_faults: faketarget.TargetFaults | None = None,
        policy: holding.HoldPolicy | None = None,
        ingress_only: Collection[str] = (),
    ):
        """Starts all nodes; each knows all others.

        Args:
            timeline: The time.
            seed: Seed of all randomness.
            nodes: Number of nodes.
            workers_each: Number of targets behind each.
            frame_faults: Faults of frames.
            target_faults: Faults of targets.
            policy: When to hold first.
            ingress_only: Names of nodes without targets.
        """
        self.timeline = timeline
        self._ingress_only = ingress_only
        self.rng = random.Random(seed)
        self.policy = policy or holding.AlwaysHold()
        self.runs: list[faketarget.Run] = []
        self.network = memlink.Network(timeline, self.rng, frame_faults)
        self._workers_each = workers_each
        names = [f"n{number}" for number in range(nodes)]
        faults = target_faults or faketarget.TargetFaults()
        self.targets = {
            worker: faketarget.FakeTarget(
                worker, timeline, self.rng, self.runs, faults
            )
            for name in names
            for worker in self.targets_of(name)
        }
        self.subtree = make_subtree(1, list(self.targets))
        self.nodes: dict[str, MemoryNode] = {}
        for name in names:
            self.start(name)

    def targets_of(self, name: str) -> list[str]:
        """Lists the names of a node's targets."""
        if name in self._ingress_only:
            return []
        return [f"{name}-w{number}" for number in range(self._workers_each)]

    def start(self, name: str) -> None:
        """Starts a process; the others hear of it a little later."""
        skew_s = self.rng.uniform(-0.2, 0.2)
        node = MemoryNode(self, name, skew_s)
        self.nodes[name] = node
        for other in self.nodes.values():
            node.members.apply_member(other.member)
            self._tell(other, node.member)

    def _tell(self, other: MemoryNode, member: wire.Member) -> None:
        def tell() -> None:
            other.loop.deliver(lambda: other.members.apply_member(member))

        delay_s = self.rng.uniform(0, 0.5) if self.timeline.now else 0.0
        self.timeline.call_at(self.timeline.now + delay_s, tell)

    def kill(self, name: str, down_s: float) -> None:
        """Kills a process; another one takes its place after a while."""
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.network.detach(name)
        node.loop.end()
        again = self.timeline.now + down_s
        self.timeline.call_at(again, lambda: self.start(name))

    def edit(self, subtree: platform.Subtree, longest_delay_s: float) -> None:
        """Brings new settings into force, at each node at its own time."""
        self.subtree = subtree
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0, longest_delay_s)
            self.timeline.call_at(
                self.timeline.now + delay_s, _offer_later(node, subtree)
            )

    def submit(self, when: float, name: str, send: Send) -> None:
        """Sends a caller's request to a node; nobody answers if it is down.

        Args:
            when: Virtual time, in s.
            name: Name of the node.
            send: The request.
        """

        def arrive() -> None:
            node = self.nodes.get(name)
            send.sent = self.timeline.now
            if node is not None:
                node.loop.deliver(lambda: _serve_later(node, send))

        self.timeline.call_at(when, arrive)


def _serve_later(node: MemoryNode, send: Send) -> None:
    node.tasks.spawn(node.serve(send), "request")


def _offer_later(
    node: MemoryNode, subtree: platform.Subtree
) -> Callable[[], None]:
    def offer() -> None:
        node.loop.deliver(lambda: node.store.apply(subtree))

    return offer


def make_subtree(revision: int, worker_names: list[str]) -> platform.Subtree:
    """Builds the settings of the fleet's one service."""
    text = f"""
[team]
name = {TEAM}
[service {SERVICE}]
workers = {", ".join(worker_names)}
[route pay]
service = {SERVICE}
path = /pay
visibility = public
"""
    return platform.Subtree(TEAM, revision, text)
