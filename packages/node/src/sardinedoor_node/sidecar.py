"""A node that serves one worker and gets all its data from a store.

The platform publishes the configuration and the workers in the store.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node import drain
from sardinedoor_node import metrics
from sardinedoor_node.admin import metricspage
from sardinedoor_node.admin import ready
from sardinedoor_node.admission import calltree
from sardinedoor_node.health import markovfilter
from sardinedoor_node.ingress import buffers
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import handler
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import linkprober
from sardinedoor_node.ingress import nesting
from sardinedoor_node.ingress import offers
from sardinedoor_node.limits import hedging
from sardinedoor_node.limits import retrywindow
from sardinedoor_node.link import zeromq
from sardinedoor_node.organisations import accounts
from sardinedoor_node.organisations import keeper
from sardinedoor_node.owner import breaker
from sardinedoor_node.owner import colocated
from sardinedoor_node.owner import crashnotices
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import replymemory
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
# Part of the memory for the responses that are being read from the worker.
_REPLY_MEMORY_SHARE = 0.08
# Callers poll the readiness page every second and stop using a node after two
# failures.
_READINESS_NOTICE_S = 2.4
# Part of the grace period that is reserved for the exit of the process.
# Requests that still run in the last sixth of the period may be cut.
_EXIT_RESERVE_S = 0.9
_CLOSE_TIMEOUT_S = 0.4
_LINK_LINGER_MS = 200
# The store tells when a worker has started again.
_LEAVING_LEASE_S = math.inf
# The worker never has more connections in use than slots.
_MAX_IDLE_CONNECTIONS = 4
# A connection that was idle for longer may have been lost unnoticed. The
# outcome of a request sent on it that isn't idempotent would be unknown.
_MAX_REUSE_IDLE_S = 1.0
# Requests detect silent peers. Heartbeats only close unused connections, and
# they cost traffic between failure domains.
_HEARTBEAT_INTERVAL_MS = 2_000
# Interval at which links to peers that are gone are looked for.
_IDLE_LINK_CHECK_S = 60.0
# The hold timeout covers a round trip and the owner's wait for a free slot.
_SLOT_WAIT_S = 0.12
_HOLD_TIMEOUT_S = 0.2


@dataclasses.dataclass(slots=True)
class SidecarSettings:
    """Settings of one node.

    All addresses are IP numbers and ports.

    Attributes:
        name: Name of the instance, for logs.
        failure_domain: Failure domain of the instance.
        caller_address: Address of the listener for callers.
        readiness_address: Address of the listener of the readiness page.
        readiness_path: Path of the readiness page.
        link_address: Address of the listener for other nodes. The port is the
            same on all nodes.
        admin_address: Address of the listener of the metrics page.
        worker_address: Address of the node's worker.
        grace_s: Grace period from SIGTERM to SIGKILL, in s.
        apply_s: Time in which a published change must be in force, in s.
        retry_rules: Limits on retries.
        quota_rules: Terms of the quotas of organisations.
        memory_mb: Memory that the process may use, in MB; 0 if unknown.
        descriptors: Descriptors that it may open; 0 if unknown.
        extra_share: Largest number of extra requests against slow answers for each
            request that may be repeated; 0 for none.
        first_start: Whether the whole fleet starts for the first time, so that no
            earlier process has used up allowances.
        entry_lease_s: Time after which the store removes an entry that its worker
            hasn't renewed, in s.
    """

    name: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    readiness_path: str
    link_address: str
    admin_address: str
    worker_address: str
    grace_s: float
    apply_s: float
    retry_rules: retrywindow.RetryRules
    quota_rules: accounts.QuotaRules = dataclasses.field(
        default_factory=accounts.QuotaRules
    )
    memory_mb: int = 0
    descriptors: int = 0
    extra_share: float = 0.0
    first_start: bool = False
    entry_lease_s: float = catalog.DEFAULT_LEASE_S


@dataclasses.dataclass(slots=True)
class PlatformAdapters:
    """Adapters to the store and to the HTTP dialects of a platform.

    Attributes:
        source: Reads the store of published items.
        decoder: Decodes published items.
        caller_dialect: HTTP headers and statuses that callers use.
        target_dialect: HTTP headers and statuses that workers use.
    """

    source: published.Source
    decoder: published.Decoder
    caller_dialect: caller_dialects.CallerDialect
    target_dialect: target_dialects.TargetDialect


class Sidecar:
    """A node: owns the components and runs them until it is stopped."""

    def __init__(self, settings: SidecarSettings, adapters: PlatformAdapters):
        """Builds the components; starts no task and no listener."""
        self._settings = settings
        self._adapters = adapters
        self._clock = clock.SystemClock()
        self._rng = random.Random()
        self._metrics = metrics.Metrics()
        self._tasks = tasks.TaskGroup(self._metrics, self._clock)
        self._stopping = asyncio.Event()
        self._leaving = False
        incarnation = secrets.token_bytes(_INCARNATION_BYTES)
        self._catalog = catalog.Catalog(
            adapters.decoder,
            self._clock,
            self._metrics,
            not settings.first_start,
            settings.entry_lease_s,
        )
        self._fleet = fleet.PublishedDirectory(
            settings.link_address, self._catalog, self._clock
        )
        self._transport = zeromq.ZeromqTransport(
            settings.link_address,
            self._metrics,
            heartbeat_ms=_HEARTBEAT_INTERVAL_MS,
        )
        self._anti_entropy = antientropy.AntiEntropy(
            settings.link_address,
            settings.failure_domain,
            self._catalog,
            self._fleet,
            self._transport,
            self._clock,
            self._rng,
            self._metrics,
        )
        self._follower = follower.Follower(
            adapters.source,
            self._catalog,
            self._fleet,
            settings.failure_domain,
            self._clock,
            self._rng,
            follower.ReadTimes.within(settings.apply_s),
            self._metrics,
        )
        failure_model = markovfilter.FailureModel()
        self._calls = calltree.CallTree()
        self._departure = departure.Departure(self._clock)
        self._owner = self._make_owner(incarnation, failure_model)
        self._handler = self._make_handler(incarnation, failure_model)
        self._drain = drain.ReadinessDrain(
            self._announce_leaving,
            self._owner,
            self._handler.server,
            self._departure,
            self._clock,
        )

    def _make_owner(
        self, incarnation: bytes, failure_model: markovfilter.FailureModel
    ) -> exchange.Owner:
        settings = self._settings
        reply_memory = replymemory.ReplyMemory(
            _REPLY_MEMORY_SHARE * settings.memory_mb * 1024 * 1024 or math.inf
        )

        def make_worker(name: str, service: str) -> workers.LocalWorker:
            gate = breaker.CircuitBreaker(
                failure_model, self._clock, self._calls
            )
            client = target.TargetClient(
                settings.worker_address,
                self._adapters.target_dialect,
                _MAX_REUSE_IDLE_S,
                float("inf"),
            )
            client.max_idle = _MAX_IDLE_CONNECTIONS
            client.reply_memory = reply_memory
            worker_settings = settings_schema.WorkerSettings(
                service, settings.worker_address
            )
            worker = workers.LocalWorker(
                name,
                worker_settings,
                breaker.BreakerClient(client, gate),
                _SLOT_WAIT_S,
                self._metrics,
                _LEAVING_LEASE_S,
            )
            worker.gate = gate
            self._anti_entropy.is_unproven = gate.is_unproven
            return worker

        worker_finder = colocated.ColocatedWorkerFinder(
            settings.worker_address,
            self._catalog.current_worker,
            make_worker,
            self._clock,
        )
        self._catalog.on_change(worker_finder.refresh)
        notifier = crashnotices.CrashNotifier(
            self._fleet, self._transport, self._clock
        )
        crash_quarantine = quarantine.CrashQuarantine(
            notifier.notify, self._metrics, self._clock
        )
        self._transport.on_message(wire.CrashNotice, crash_quarantine.on_notice)
        self._transport.on_link_change(crash_quarantine.on_link_change)
        owner = exchange.Owner(
            incarnation,
            worker_finder,
            None,
            crash_quarantine,
            self._metrics,
            self._clock,
            self._adapters.target_dialect,
            self._calls,
        )
        self._transport.on_message(wire.Offer, owner.on_offer)
        self._transport.on_message(wire.Go, owner.on_go)
        self._transport.on_message(wire.Cancel, owner.on_cancel)
        self._transport.on_message(wire.Resume, owner.on_resume)
        self._transport.on_message(wire.ReplyReceived, owner.on_reply_received)
        return owner

    def _make_handler(
        self, incarnation: bytes, failure_model: markovfilter.FailureModel
    ) -> handler.PublishedRouteHandler:
        settings = self._settings
        exchange_table = exchanges.ExchangeTable(
            incarnation, self._metrics, self._clock
        )
        for message in (wire.Held, wire.Reply, wire.Refusal):
            self._transport.on_message(message, exchange_table.on_message)
        self._transport.on_link_change(exchange_table.on_link_change)
        picker = leastcost.LeastCostPicker(
            self._rng,
            self._clock,
            tracking.Location(settings.link_address, settings.failure_domain),
            failure_model,
        )
        self._anti_entropy.on_unproven(picker.worker_unproven)
        self._link_prober = linkprober.LinkProber(
            picker.paths, self._anti_entropy, self._transport, self._clock
        )
        forwarder = failover.FailoverForwarder(
            self._fleet,
            picker,
            offers.OfferSender(
                self._fleet,
                self._transport,
                picker,
                exchange_table,
                holding.AlwaysHold(),
                self._clock,
                _HOLD_TIMEOUT_S,
            ),
            retrywindow.WindowedBudgets(
                settings.retry_rules,
                self._count_nodes,
                -math.inf if settings.first_start else self._clock.monotonic(),
                self._rng.random(),
            ),
            lambda: self._owner.account.repeated_in_flight,
            self._metrics,
            self._clock,
            self._calls,
            hedging.HedgePolicy(settings.extra_share),
            self._departure,
        )
        self._quotas = keeper.QuotaKeeper(
            settings.link_address,
            self._account_nodes,
            lambda name: self._handler.find_quota(name),
            settings.quota_rules,
            self._transport,
            self._tasks,
            self._clock,
            self._rng,
            self._metrics,
        )
        self._anti_entropy.on_digest(self._quotas.heard)
        return handler.PublishedRouteHandler(
            self._catalog,
            forwarder,
            self._adapters.caller_dialect,
            self._metrics,
            self._clock,
            self._rng,
            buffers.BufferLimits.for_machine(
                _MAX_CONNECTIONS, settings.memory_mb, settings.descriptors
            ),
            nesting.NestedCallDetector(
                self._owner.account.may_be_running,
                self._owner.account.idle_share,
            ),
            self._quotas,
            settings.apply_s,
            self._calls,
        )

    def _account_nodes(self) -> list[str]:
        return self._fleet.serving_nodes(
            self._settings.failure_domain, not self._leaving
        )

    def _count_nodes(self) -> int:
        near, far = self._fleet.peers_by_domain(self._settings.failure_domain)
        return 1 + len(near) + len(far)

    def _is_ready(self) -> bool:
        return not self._leaving and self._handler.has_routes

    def _announce_leaving(self) -> None:
        self._leaving = True
        self._anti_entropy.leaving = True
        self._anti_entropy.announce()

    async def run(self) -> None:
        """Runs the node until its graceful shutdown has finished."""
        settings = self._settings
        logger.info(
            "started", extra={"failure_domain": settings.failure_domain}
        )
        self._transport.bind(settings.link_address)
        self._handler.server.listen(settings.caller_address, public=False)
        _listen(
            settings.readiness_address,
            ready.make_application(settings.readiness_path, self._is_ready),
        )
        _listen(
            settings.admin_address,
            metricspage.make_application(self._metrics.registry),
        )
        self._tasks.supervise(self._follower.run, "follower")
        self._tasks.supervise(self._anti_entropy.run, "spread")
        self._tasks.supervise(self._link_prober.run, "silence")
        self._tasks.supervise(self._close_idle_links, "idle-links")
        self._tasks.supervise(self._quotas.run, "quotas")
        await self._stopping.wait()
        await self._drain.run(
            _READINESS_NOTICE_S, settings.grace_s - _EXIT_RESERVE_S
        )
        await self._tasks.cancel()
        try:
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._handler.server.close()
        except TimeoutError:
            logger.warning("connections left open at the end of the grace")
        await self._transport.close(_LINK_LINGER_MS)
        logger.info("stopped")

    async def _close_idle_links(self) -> None:
        while True:
            await self._clock.sleep(_IDLE_LINK_CHECK_S)
            self._transport.close_idle()

    def stop(self) -> None:
        """Requests a graceful shutdown; further calls have no effect."""
        self._stopping.set()


def _listen(address: str, application) -> None:
    host, _, port = address.rpartition(":")
    application.listen(int(port), address=host)
