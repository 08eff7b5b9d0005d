"""Simulated load on a fleet of nodes with one worker each, in virtual time.

All nodes share one event loop. The forwarder, the picker, the owner and its
circuit breaker are the product's own; links and targets are simulated. Targets
fail in spells, as gray targets do: for some seconds they fail most requests at
once, and otherwise few.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from sardinedoor_node import directory
from sardinedoor_node import link
from sardinedoor_node import metrics
from sardinedoor_node.health import markovfilter
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import offers
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.limits import retrywindow
from sardinedoor_node.membership import targets
from sardinedoor_node.owner import breaker
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import workers
from sardinedoor_node.picking import leastcost
from sardinedoor_node.picking import tracking
from sardinedoor_schema import codes
from sardinedoor_schema.generated import settings
from sardinedoor_schema.generated import wire
from sardinedoor_standins import spelltarget
from sardinedoor_standins import virtualtime

if TYPE_CHECKING:
    from sardinedoor_schema import base

_SERVICE = "permits"
_INCARNATION_BYTES = 16
_SLOT_WAIT_S = 0.12
_HOLD_TIMEOUT_S = 0.2
_SERVER_ERROR = 500
_SAMPLE_INTERVAL_S = 0.1
# A target is sound that didn't fail in this time before it, and counts as used
# if it got a request in this time.
_USE_WINDOW_S = 2.0


@dataclasses.dataclass(slots=True)
class Load:
    """Requests of one kind.

    Attributes:
        rate: Requests per second of the whole fleet.
        idempotent: Whether they may run more than once.
        work_s: Mean time of a run, in s.
        priority: Priority; higher goes first.
        objective_s: Latency objective, in s.
        deadline_s: Time that callers wait, in s.
    """

    rate: float
    idempotent: bool
    work_s: float = 0.34
    priority: int = 8
    objective_s: float = 1.0
    deadline_s: float = 2.5


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers of one kind of request got.

    Attributes:
        asked: Number of requests.
        in_time: Answered with success within the objective.
        late: Answered with success after it.
        failed: Answered with a failure, or the outcome is unknown.
        refused: Refused as not run.
        refusal_waits_s: Time until each refusal, in s.
        offers: Number of offers made.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    refusal_waits_s: list[float] = dataclasses.field(default_factory=list)
    offers: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered with success in time."""
        return self.in_time / max(1, self.asked)

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed."""
        return self.failed / max(1, self.asked)


class _Channel(link.Channel):
    """Sends messages from one node to another after the link's delay."""

    def __init__(self, fleet: LoadFleet, source: str, destination: str):
        self._fleet = fleet
        self._source = source
        self._destination = destination

    def send(self, message: base.Message) -> bool:
        """See base class."""
        asyncio.get_running_loop().call_later(
            self._fleet.plan.delay_s, self._deliver, message
        )
        return True

    def _deliver(self, message: base.Message) -> None:
        receiver = self._fleet.transports[self._destination]
        channel = receiver.connect(self._source, "")
        receiver.dispatch(channel, message)


class _Transport(link.Transport):
    """Transport of one node within the process."""

    def __init__(self, fleet: LoadFleet, name: str):
        self._fleet = fleet
        self._name = name
        self._channels: dict[str, _Channel] = {}
        self._receivers: dict[type, link.Receiver] = {}

    def connect(self, name: str, address: str) -> link.Channel:
        """See base class."""
        del address
        channel = self._channels.get(name)
        if channel is None:
            channel = _Channel(self._fleet, self._name, name)
            self._channels[name] = channel
        return channel

    def on_message(
        self, cls: type[base.Message], receiver: link.Receiver
    ) -> None:
        """See base class."""
        self._receivers[cls] = receiver

    def dispatch(self, channel: link.Channel, message: base.Message) -> None:
        """Passes a message to its receiver."""
        self._receivers[type(message)](channel, message)


class _Directory(directory.Directory):
    """All targets of the fleet, which never change."""

    def __init__(self, name: str, found: list[targets.Target]):
        self._name = name
        self._targets = found

    @property
    def own_name(self) -> str:
        """See base class."""
        return self._name

    def targets(self, service: str) -> list[targets.Target]:
        """See base class."""
        del service
        return self._targets

    def peer(self, name: str) -> directory.Peer | None:
        """See base class."""
        return directory.Peer(name, name)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        """See base class."""


class _Node:
    """Ingress and owner of one node."""

    def __init__(self, fleet: LoadFleet, at: targets.Target):
        plan = fleet.plan
        rng = random.Random(fleet.rng.random())
        time = fleet.clock
        counters = metrics.Metrics()
        transport = _Transport(fleet, at.node)
        fleet.transports[at.node] = transport
        model = markovfilter.FailureModel()
        self.name = at.node
        self._fleet = fleet
        self._at = at
        self._rng = rng
        self._transport = transport
        self._model = model
        is_limited = fleet.targets.index(at) < plan.limited_share * plan.nodes
        self.client = spelltarget.SpellClient(
            plan, rng, plan.rate_limit if is_limited else None
        )
        incarnation = self._start_owner()
        table = exchanges.ExchangeTable(incarnation, counters, time)
        for message in (wire.Held, wire.Reply, wire.Refusal):
            transport.on_message(message, table.on_message)
        known = _Directory(at.node, fleet.targets)
        picker = leastcost.LeastCostPicker(
            rng,
            time,
            tracking.Location(at.node, at.failure_domain),
            model,
        )
        self.forwarder = failover.FailoverForwarder(
            known,
            picker,
            offers.OfferSender(
                known,
                transport,
                picker,
                table,
                holding.AlwaysHold(),
                time,
                _HOLD_TIMEOUT_S,
            ),
            retrywindow.WindowedBudgets(
                fleet.retry_rules,
                lambda: plan.nodes,
                time.monotonic() - fleet.retry_rules.window_s,
                rng.random(),
            ),
            lambda: self.owner.account.repeated_in_flight,
            counters,
            time,
        )

    def _start_owner(self) -> bytes:
        """Starts the owner and returns its incarnation."""
        plan = self._fleet.plan
        time = self._fleet.clock
        counters = metrics.Metrics()
        gate = breaker.CircuitBreaker(self._model, time)
        worker = workers.LocalWorker(
            self._at.worker,
            settings.WorkerSettings(_SERVICE, "127.0.0.1:1"),
            breaker.BreakerClient(self.client, gate),
            _SLOT_WAIT_S,
        )
        worker.gate = gate
        worker.resize(plan.slots, time)
        incarnation = self._rng.randbytes(_INCARNATION_BYTES)
        self.owner = exchange.Owner(
            incarnation,
            {self._at.worker: worker},
            None,
            quarantine.CrashQuarantine(lambda notice: None, counters, time),
            counters,
            time,
        )
        register = self._transport.on_message
        register(wire.Offer, self.owner.on_offer)
        register(wire.Go, self.owner.on_go)
        register(wire.Cancel, self.owner.on_cancel)
        return incarnation

    def restart_owner(self) -> None:
        """Replaces the owner by a new process, as a planned restart does.

        Requests that the earlier one holds come to their end.
        """
        finishing = self.owner
        self._start_owner()
        started = self.owner

        def on_go(channel: link.Channel, go: wire.Go) -> None:
            finishing.on_go(channel, go)
            started.on_go(channel, go)

        self._transport.on_message(wire.Go, on_go)


class LoadFleet:
    """A fleet under load on one virtual clock.

    Attributes:
        busy_share: Mean share of all slots that did work in the measurement.
        used_shares: Share of the sound targets that got requests, for each
            window of 2 s.
    """

    def __init__(self, plan: spelltarget.Plan, seed: int):
        """Builds the nodes.

        Args:
            plan: Size of the fleet and behaviour of the targets.
            seed: Seed of all random draws.
        """
        self.plan = plan
        self.rng = random.Random(seed)
        self._timeline = virtualtime.Timeline()
        self._restarts: list[float] = []
        self._loop = self._timeline.new_loop()
        self.clock = virtualtime.VirtualClock(self._timeline)
        self.transports: dict[str, _Transport] = {}
        self.retry_rules = retrywindow.RetryRules(0.2, 10.0, 2.0 * plan.nodes)
        self.targets = [
            targets.Target(
                f"w{number}",
                _SERVICE,
                f"n{number}",
                False,
                f"fd{number % plan.domains}",
                plan.slots,
            )
            for number in range(plan.nodes)
        ]
        self._nodes = [_Node(self, at) for at in self.targets]
        self._tasks: set[asyncio.Task] = set()
        self._healthy_samples: list[float] = []
        self.used_shares: list[float] = []
        self.busy_share = 0.0

    @property
    def healthy_share(self) -> float:
        """Mean share of the targets that weren't failing."""
        return sum(self._healthy_samples) / len(self._healthy_samples)

    def _sample_used_share(self) -> None:
        """Samples the share of sound targets that got requests lately."""
        now = self.clock.monotonic()
        since = now - _USE_WINDOW_S
        sound = [
            node.client
            for node in self._nodes
            if not node.client.is_failing(now)
            and node.client.last_failure_at < since - _USE_WINDOW_S
        ]
        used = sum(client.last_request_at >= since for client in sound)
        if sound:
            self.used_shares.append(used / len(sound))

    def _sample_health(self) -> None:
        now = self.clock.monotonic()
        healthy = sum(not n.client.is_failing(now) for n in self._nodes)
        self._healthy_samples.append(healthy / len(self._nodes))

    @property
    def clients(self) -> list[spelltarget.SpellClient]:
        """The targets."""
        return [node.client for node in self._nodes]

    def restart_owners_at(self, at: float) -> None:
        """Restarts all owners at a time, in s, while `run` plays."""
        self._restarts.append(at)

    def _restart_owners(self) -> None:
        for node in self._nodes:
            node.restart_owner()

    def run(
        self, loads: list[Load], seconds: float, warm_up_s: float = 4.0
    ) -> list[Tally]:
        """Sends requests for some time and waits for the last results.

        Args:
            loads: The kinds of requests.
            seconds: Length of the measurement, in s.
            warm_up_s: Time before it, whose requests aren't counted, in s.

        Returns:
            What callers got, for each kind.
        """
        tallies = [Tally() for _ in loads]
        with self._timeline.closing():
            for load, tally in zip(loads, tallies, strict=True):
                at = self.rng.expovariate(load.rate)
                while at < warm_up_s + seconds:
                    counted = tally if at >= warm_up_s else Tally()
                    self._timeline.call_at(at, self._arrival(load, counted))
                    at += self.rng.expovariate(load.rate)
            for at in self._restarts:
                self._timeline.call_at(at, self._restart_owners)
            for number in range(int(seconds / _SAMPLE_INTERVAL_S)):
                self._timeline.call_at(
                    warm_up_s + number * _SAMPLE_INTERVAL_S,
                    self._sample_health,
                )
            for number in range(1, int(seconds / _USE_WINDOW_S) + 1):
                self._timeline.call_at(
                    warm_up_s + number * _USE_WINDOW_S,
                    self._sample_used_share,
                )
            self._timeline.run_until(warm_up_s)
            busy_before_s = sum(n.client.busy_s for n in self._nodes)
            self._timeline.run_until(warm_up_s + seconds)
            busy_s = sum(n.client.busy_s for n in self._nodes) - busy_before_s
            slots = self.plan.nodes * self.plan.slots
            self.busy_share = busy_s / (seconds * slots)
            longest_s = max(load.deadline_s for load in loads)
            self._timeline.run_until(warm_up_s + seconds + longest_s + 1.0)
        return tallies

    def _arrival(self, load: Load, tally: Tally):
        def start() -> None:
            self._loop.call_soon(spawn)

        def spawn() -> None:
            task = self._loop.create_task(self._serve(load, tally))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        return start

    async def _serve(self, load: Load, tally: Tally) -> None:
        tally.asked += 1
        node = self.rng.choice(self._nodes)
        started_at = self.clock.monotonic()
        progress = requestprogress.Progress(started_at)
        job = attempt.Job(
            request=wire.Request(
                "POST",
                "/",
                [wire.Header("Ingress", node.name)],
                str(load.work_s).encode(),
            ),
            service=_SERVICE,
            idempotent=load.idempotent,
            deadline=started_at + load.deadline_s,
            priority=load.priority,
            objective_s=load.objective_s,
            max_runs=2,
        )
        try:
            async with asyncio.timeout(load.deadline_s):
                await node.forwarder.forward(job, progress)
        except TimeoutError:
            pass
        took_s = self.clock.monotonic() - started_at
        tally.offers += progress.offer_count
        result = progress.result()
        if result.reply is not None and result.reply.status < _SERVER_ERROR:
            if took_s <= load.objective_s:
                tally.in_time += 1
            else:
                tally.late += 1
        elif codes.outcome(result.code) is codes.Outcome.NOT_RUN:
            tally.refused += 1
            tally.refusal_waits_s.append(took_s)
        else:
            tally.failed += 1


def outcome_counts(tallies: list[Tally]) -> collections.Counter[str]:
    """Sums up the outcomes of several kinds of requests."""
    counts: collections.Counter[str] = collections.Counter()
    for tally in tallies:
        for field in ("asked", "in_time", "late", "failed", "refused"):
            counts[field] += getattr(tally, field)
    return counts
