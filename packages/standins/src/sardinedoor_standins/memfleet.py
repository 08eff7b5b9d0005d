"""In-memory fleet that runs the real exchange protocol on a virtual clock."""

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
class CallerRequest:
    """One request of a caller, and the result it got.

    Attributes:
        send_id: Identifies this sending in the log of the targets.
        body: Body of the request.
        idempotent: Whether the request may run more than once.
        key: Idempotency key; several sendings may share one.
        timeout_s: Time until the deadline, in s.
        sent: Virtual time at which it reached the node, in s.
        answered: Virtual time at which the result was returned, in s.
        result: Result from the forwarder; None if there was none.
    """

    send_id: str
    body: bytes
    idempotent: bool
    key: str = ""
    timeout_s: float = 2.0
    sent: float = 0.0
    answered: float = 0.0
    result: forward.ForwardResult | None = None

    def make_job(self, now: float, route: routes.Route) -> attempt.Job:
        """Builds the job that the ingress node hands to its forwarder.

        Args:
            now: Time of the node's monotonic clock, in s.
            route: Route that the request matches.
        """
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
    """Simulated process of the daemon, without HTTP listeners."""

    def __init__(self, fleet: MemoryFleet, name: str, skew_s: float):
        """Starts the process.

        Args:
            fleet: Fleet that the node belongs to.
            name: Name of the node.
            skew_s: Offset of its time of day from the virtual time, in s.
        """
        self.name = name
        self.fleet = fleet
        self.loop = fleet.timeline.new_loop()
        self.clock = virtualtime.VirtualClock(fleet.timeline, skew_s)
        self.counters = metrics.Metrics()
        self.tasks = tasks.TaskGroup()
        incarnation = fleet.rng.randbytes(_INCARNATION_BYTES)
        own_targets = fleet.target_names(name)
        self.member = wire.Member(
            name,
            incarnation,
            name,
            workers=[wire.Worker(worker, SERVICE) for worker in own_targets],
        )
        self.members = table.MemberTable(self.member)
        self.store = store.SettingsStore()
        self._connect_components(incarnation, own_targets)

    def _connect_components(
        self, incarnation: bytes, own_targets: list[str]
    ) -> None:
        fleet = self.fleet
        transport = memlink.MemoryTransport(
            self.name, fleet.network, self.loop, self.counters
        )
        key_placement = placement.KeyPlacement(self.store, self.clock)
        self.store.apply(fleet.subtree)
        list_age_query = listagequery.ListAgeQuery(
            [SERVICE],
            key_placement,
            self.members,
            transport,
            self.clock,
            random.Random(fleet.rng.random()),
        )
        self.loop.call_soon(lambda: self.tasks.spawn(list_age_query.run()))
        notifier = crashnotices.CrashNotifier(
            self.members, transport, self.clock
        )
        crash_quarantine = quarantine.CrashQuarantine(
            notifier.notify, self.counters, self.clock
        )
        local = {worker: self._make_worker(worker) for worker in own_targets}
        self.owner = exchange.Owner(
            incarnation,
            local,
            key_placement,
            crash_quarantine,
            self.counters,
            self.clock,
        )
        exchange_table = exchanges.ExchangeTable(
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
            exchange_table,
            key_placement,
            fleet.policy,
            self.counters,
            self.clock,
        )
        register = transport.on_message
        register(wire.Offer, self.owner.on_offer)
        register(wire.Go, self.owner.on_go)
        register(wire.Cancel, self.owner.on_cancel)
        register(wire.CrashNotice, crash_quarantine.on_notice)
        register(wire.ListAgeRequest, list_age_query.on_request)
        register(wire.ListAge, list_age_query.on_answer)
        for cls in (wire.Held, wire.Reply, wire.Refusal):
            register(cls, exchange_table.on_message)

    def _make_worker(self, name: str) -> workers.LocalWorker:
        client = faketarget.FakeTargetClient(
            self.fleet.targets[name], self.fleet.timeline, self.loop
        )
        return workers.LocalWorker(
            name, settings.WorkerSettings(SERVICE, "127.0.0.1:1"), client
        )

    async def serve(self, request: CallerRequest) -> None:
        """Forwards a caller's request and stores its result."""
        subtree = self.store.subtrees[TEAM]
        route = routes.Route(
            "pay", TEAM, subtree.revision, subtree.routes["pay"]
        )
        job = request.make_job(self.clock.monotonic(), route)
        request.result = await self.forwarder.forward(job)
        request.answered = self.clock.monotonic()


class MemoryFleet:
    """In-memory nodes, their fake targets, and the network between them."""

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
        """Starts all nodes, each with all others in its member table.

        Args:
            timeline: Virtual clock that runs the nodes.
            seed: Seed of all random choices.
            nodes: Number of nodes.
            workers_each: Number of targets per node.
            frame_faults: Probabilities of faults per frame.
            target_faults: Probabilities of faults per run on a target.
            policy: Decides which offers wait for a hold before the request
                is sent; by default all.
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
            for worker in self.target_names(name)
        }
        self.subtree = make_subtree(1, list(self.targets))
        self.nodes: dict[str, MemoryNode] = {}
        for name in names:
            self.start(name)

    def target_names(self, name: str) -> list[str]:
        """Returns the names of a node's targets."""
        if name in self._ingress_only:
            return []
        return [f"{name}-w{number}" for number in range(self._workers_each)]

    def start(self, name: str) -> None:
        """Starts a node's process.

        Once virtual time runs, the other nodes learn of the new incarnation
        after a random delay of up to 0.5 s, as gossip would spread it.
        """
        skew_s = self.rng.uniform(-0.2, 0.2)
        node = MemoryNode(self, name, skew_s)
        self.nodes[name] = node
        for other in self.nodes.values():
            node.members.apply_member(other.member)
            self._announce(other, node.member)

    def _announce(self, other: MemoryNode, member: wire.Member) -> None:
        def apply() -> None:
            other.loop.deliver(lambda: other.members.apply_member(member))

        delay_s = self.rng.uniform(0, 0.5) if self.timeline.now else 0.0
        self.timeline.call_at(self.timeline.now + delay_s, apply)

    def kill(self, name: str, down_s: float) -> None:
        """Kills a node's process and schedules its restart.

        Args:
            name: Name of the node.
            down_s: Time until the restart, in s.
        """
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.network.detach(name)
        node.loop.kill()
        restart_at = self.timeline.now + down_s
        self.timeline.call_at(restart_at, lambda: self.start(name))

    def edit(self, subtree: platform.Subtree, max_delay_s: float) -> None:
        """Applies new settings at each node after a random delay.

        Args:
            subtree: The new settings.
            max_delay_s: Upper bound of the delays, in s.
        """
        self.subtree = subtree
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0, max_delay_s)
            self.timeline.call_at(
                self.timeline.now + delay_s, _apply_in_loop(node, subtree)
            )

    def submit(self, when: float, name: str, request: CallerRequest) -> None:
        """Schedules a caller's request to a node.

        The request gets no result if the node is down at that time.

        Args:
            when: Virtual time of the request, in s.
            name: Name of the node.
            request: The request.
        """

        def arrive() -> None:
            node = self.nodes.get(name)
            request.sent = self.timeline.now
            if node is not None:
                node.loop.deliver(lambda: _spawn_serve(node, request))

        self.timeline.call_at(when, arrive)


def _spawn_serve(node: MemoryNode, request: CallerRequest) -> None:
    node.tasks.spawn(node.serve(request), "request")


def _apply_in_loop(
    node: MemoryNode, subtree: platform.Subtree
) -> Callable[[], None]:
    def apply() -> None:
        node.loop.deliver(lambda: node.store.apply(subtree))

    return apply


def make_subtree(revision: int, worker_names: list[str]) -> platform.Subtree:
    """Builds the settings of the only service of the fleet."""
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
