"""A node beside one worker, on a platform that publishes everything."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node import drain
from sardinedoor_node import metrics
from sardinedoor_node.admin import metricspage
from sardinedoor_node.admin import ready
from sardinedoor_node.health import markovfilter
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import handler
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import linkprober
from sardinedoor_node.ingress import nesting
from sardinedoor_node.ingress import offers
from sardinedoor_node.limits import retrywindow
from sardinedoor_node.link import zeromq
from sardinedoor_node.owner import breaker
from sardinedoor_node.owner import colocated
from sardinedoor_node.owner import crashnotices
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_node.picking import leastcost
from sardinedoor_node.picking import tracking
from sardinedoor_node.published import antientropy
from sardinedoor_node.published import catalog
from sardinedoor_node.published import fleet
from sardinedoor_node.published import follower
from sardinedoor_node.util import clock
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import settings as settings_schema
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import published
    from sardinedoor_node.ingress import dialect as caller_dialects
    from sardinedoor_node.owner import dialect as target_dialects

logger = logging.getLogger(__name__)

_INCARNATION_BYTES = 16
_MAX_CONNECTIONS = 2_000
# Callers ask every second whether a node is ready, and leave after two misses.
_NOTICE_S = 2.4
# Left of the grace for the process to end; requests at work in its last sixth
# may be cut.
_EXIT_S = 0.9
_CLOSE_S = 0.4
_LINK_LINGER_MS = 200
# Kept connections of one worker; more than its slots are never in use.
_MAX_IDLE = 4
# A connection idle for this long may have been dropped unseen, and then work
# that isn't idempotent would end unknown.
_REUSE_S = 1.0
# Silence is noticed by requests; heartbeats only end what nobody uses, and
# cost bytes between failure domains.
_HEARTBEAT_MS = 2_000
# An owner answers within a round trip, or once a slot is free.
_SLOT_WAIT_S = 0.12
_HOLD_TIMEOUT_S = 0.2


@dataclasses.dataclass(slots=True)
class SidecarSettings:
    """Where a node is and what it listens on.

    Attributes:
        name: Name of the instance, for logs.
        failure_domain: Where it is.
        callers: Address for callers.
        ready: Address of the readiness page.
        ready_path: Path of that page.
        link: Address for other nodes; its port is the same on all of them.
        admin: Address of the metrics.
        worker: Address of the worker beside it.
        grace_s: Time from SIGTERM to SIGKILL, in s.
        retries: Bounds further attempts.
    """

    name: str
    failure_domain: str
    callers: str
    ready: str
    ready_path: str
    link: str
    admin: str
    worker: str
    grace_s: float
    retries: retrywindow.RetryRules


@dataclasses.dataclass(slots=True)
class Edges:
    """What translates between the platform and the product.

    Attributes:
        source: The store.
        decoder: Reads published items.
        callers: What callers speak.
        targets: What workers speak.
    """

    source: published.Source
    decoder: published.Decoder
    callers: caller_dialects.CallerDialect
    targets: target_dialects.TargetDialect


class Sidecar:
    """Wires the parts of a node together."""

    def __init__(self, settings: SidecarSettings, edges: Edges):
        """Builds the parts; nothing runs or listens yet."""
        self._settings = settings
        self._edges = edges
        self._clock = clock.SystemClock()
        self._rng = random.Random()
        self._metrics = metrics.Metrics()
        self._tasks = tasks.TaskGroup()
        self._stopping = asyncio.Event()
        self._leaving = False
        incarnation = secrets.token_bytes(_INCARNATION_BYTES)
        self._catalog = catalog.Catalog(edges.decoder, self._clock)
        self._fleet = fleet.PublishedDirectory(
            settings.link, self._catalog, self._clock
        )
        self._transport = zeromq.ZeromqTransport(
            settings.link, self._metrics, heartbeat_ms=_HEARTBEAT_MS
        )
        self._anti_entropy = antientropy.AntiEntropy(
            settings.link,
            settings.failure_domain,
            self._catalog,
            self._fleet,
            self._transport,
            self._clock,
            self._rng,
        )
        self._follower = follower.Follower(
            edges.source,
            self._catalog,
            self._fleet,
            settings.failure_domain,
            self._clock,
            self._rng,
        )
        rates = markovfilter.FailureModel()
        self._owner = self._make_owner(incarnation, rates)
        self._entry = self._make_entry(incarnation, rates)
        self._drain = drain.ReadinessDrain(
            self._leave, self._owner, self._entry.server, self._clock
        )

    def _make_owner(
        self, incarnation: bytes, rates: markovfilter.FailureModel
    ) -> exchange.Owner:
        settings = self._settings

        def make(name: str, service: str) -> workers.LocalWorker:
            gate = breaker.CircuitBreaker(rates, self._clock)
            client = target.TargetClient(
                settings.worker, self._edges.targets, _REUSE_S, float("inf")
            )
            client.max_idle = _MAX_IDLE
            found = settings_schema.WorkerSettings(service, settings.worker)
            worker = workers.LocalWorker(
                name, found, breaker.BreakerClient(client, gate), _SLOT_WAIT_S
            )
            worker.gate = gate
            return worker

        local = colocated.ColocatedWorkerFinder(
            settings.worker, self._catalog.current_worker, make, self._clock
        )
        notifier = crashnotices.CrashNotifier(
            self._fleet, self._transport, self._clock
        )
        crashes = quarantine.CrashQuarantine(
            notifier.notify, self._metrics, self._clock
        )
        self._transport.on_message(wire.CrashNotice, crashes.on_notice)
        owner = exchange.Owner(
            incarnation,
            local,
            None,
            crashes,
            self._metrics,
            self._clock,
            self._edges.targets,
        )
        self._transport.on_message(wire.Offer, owner.on_offer)
        self._transport.on_message(wire.Go, owner.on_go)
        self._transport.on_message(wire.Cancel, owner.on_cancel)
        return owner

    def _make_entry(
        self, incarnation: bytes, rates: markovfilter.FailureModel
    ) -> handler.PublishedRouteHandler:
        settings = self._settings
        table = exchanges.ExchangeTable(incarnation, self._metrics, self._clock)
        for message in (wire.Held, wire.Reply, wire.Refusal):
            self._transport.on_message(message, table.on_message)
        picker = leastcost.LeastCostPicker(
            self._rng,
            self._clock,
            tracking.Location(settings.link, settings.failure_domain),
            rates,
        )
        self._silence = linkprober.LinkProber(
            picker.paths, self._anti_entropy, self._transport, self._clock
        )
        forwarder = failover.FailoverForwarder(
            self._fleet,
            picker,
            offers.OfferSender(
                self._fleet,
                self._transport,
                picker,
                table,
                holding.AlwaysHold(),
                self._clock,
                _HOLD_TIMEOUT_S,
            ),
            retrywindow.WindowedBudgets(
                settings.retries,
                self._count_nodes,
                self._clock.monotonic(),
                self._rng.random(),
            ),
            lambda: self._owner.repeated_in_flight,
            self._metrics,
            self._clock,
        )
        return handler.PublishedRouteHandler(
            self._catalog,
            forwarder,
            self._edges.callers,
            self._metrics,
            self._clock,
            self._rng,
            _MAX_CONNECTIONS,
            nesting.NestedCallDetector(lambda: self._owner.in_flight),
        )

    def _count_nodes(self) -> int:
        near, far = self._fleet.peers_by_domain(self._settings.failure_domain)
        return 1 + len(near) + len(far)

    def _is_ready(self) -> bool:
        return not self._leaving and self._catalog.configuration is not None

    def _leave(self) -> None:
        self._leaving = True
        self._anti_entropy.leaving = True
        self._anti_entropy.announce()

    async def run(self) -> None:
        """Runs until a planned stop has finished."""
        settings = self._settings
        logger.info(
            "started", extra={"failure_domain": settings.failure_domain}
        )
        self._transport.bind(settings.link)
        self._entry.server.listen(settings.callers, public=False)
        _listen(
            settings.ready,
            ready.make_application(settings.ready_path, self._is_ready),
        )
        _listen(
            settings.admin,
            metricspage.make_application(self._metrics.registry),
        )
        self._tasks.spawn(self._follower.run(), "follower")
        self._tasks.spawn(self._anti_entropy.run(), "spread")
        self._tasks.spawn(self._silence.run(), "silence")
        await self._stopping.wait()
        await self._drain.run(_NOTICE_S, settings.grace_s - _EXIT_S)
        await self._tasks.cancel()
        try:
            async with asyncio.timeout(_CLOSE_S):
                await self._entry.server.close()
        except TimeoutError:
            logger.warning("connections left open at the end of the grace")
        await self._transport.close(_LINK_LINGER_MS)
        logger.info("stopped")

    def stop(self) -> None:
        """Begins the planned stop; more calls change nothing."""
        self._stopping.set()


def _listen(address: str, application) -> None:
    host, _, port = address.rpartition(":")
    application.listen(int(port), address=host)
