"""Assembly, start and graceful shutdown of a node."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node import boot
from sardinedoor_node import drain
from sardinedoor_node import metrics
from sardinedoor_node.admin import explain
from sardinedoor_node.admin import healthstatus
from sardinedoor_node.admin import server
from sardinedoor_node.admin import status
from sardinedoor_node.health import monitor
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import listener
from sardinedoor_node.ingress import pathprober
from sardinedoor_node.ingress import tls
from sardinedoor_node.link import curve
from sardinedoor_node.link import zeromq
from sardinedoor_node.membership import configured
from sardinedoor_node.membership import service
from sardinedoor_node.membership import table
from sardinedoor_node.owner import crashnotices
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import gate
from sardinedoor_node.owner import healthtasks
from sardinedoor_node.owner import listagequery
from sardinedoor_node.owner import monitored
from sardinedoor_node.owner import placement
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import workers
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import twochoices
from sardinedoor_node.platform import service as platform_service
from sardinedoor_node.settings import store
from sardinedoor_node.util import clock
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.settings import nodefile

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 16


class Daemon:
    """A node: owns the components and runs them until it is stopped."""

    def __init__(self, file: nodefile.NodeFile):
        """Builds the components; starts no task and no listener.

        Args:
            file: The node's own settings.
        """
        self._node_file = file
        self._clock = clock.SystemClock()
        self._metrics = metrics.Metrics()
        self._tasks = tasks.TaskGroup(self._metrics, self._clock)
        self._stopping = asyncio.Event()
        incarnation = secrets.token_bytes(INCARNATION_BYTES)
        self._own = wire.Member(
            name=file.node.name,
            incarnation=incarnation,
            epoch=int(self._clock.now().timestamp() * 1000),
            link=file.node.link_advertised or file.node.link,
            failure_domain=file.node.failure_domain,
            region=file.node.region,
            workers=[
                wire.Worker(name, worker.service)
                for name, worker in file.workers.items()
            ],
        )
        self._store = store.SettingsStore(self._metrics)
        self._members = table.MemberTable(self._own, self._clock, self._metrics)
        self._transport = zeromq.ZeromqTransport(
            file.node.name, self._metrics, curve.from_settings(file.node)
        )
        rng = random.Random()
        self._membership = service.Membership(
            self._members,
            self._store,
            self._transport,
            self._clock,
            rng,
            self._tasks,
        )
        self._platform_poller = platform_service.PlatformPoller(
            file.node.platform,
            self._members,
            self._store,
            self._membership.pinger,
            lambda: self._membership.anti_entropy.serving,
            self._clock,
            rng,
            self._tasks,
        )
        self._boot = boot.Bootstrapper(
            file.node.seeds,
            self._members,
            self._store,
            self._membership,
            self._transport,
            self._platform_poller.client,
            self._clock,
            rng,
        )
        self._health = monitor.HealthMonitor(
            {name: w.service for name, w in file.workers.items()}, self._clock
        )
        self._workers = monitored.make_workers(
            file.workers,
            self._health,
            gate.EjectionGate(self._health, self._members, self._store),
            self._metrics,
        )
        self._health_tasks = healthtasks.HealthTasks(
            self._health,
            self._workers,
            self._members,
            self._store,
            self._transport,
            self._metrics,
            self._clock,
        )
        self._store.on_change(self._on_settings)
        self._configured = configured.ConfiguredWorkers(self._store)
        self._configured.track_drained(self._workers.values())
        self._members.set_target_filter(self._configured.filter_targets)
        key_placement = placement.KeyPlacement(self._store, self._clock)
        self._list_age_query = listagequery.ListAgeQuery(
            {worker.service for worker in file.workers.values()},
            key_placement,
            self._members,
            self._transport,
            self._clock,
            random.Random(),
        )
        notifier = crashnotices.CrashNotifier(
            self._members, self._transport, self._clock
        )
        self._crash_quarantine = quarantine.CrashQuarantine(
            notifier.notify, self._metrics, self._clock
        )
        self._owner = exchange.Owner(
            incarnation,
            self._workers,
            key_placement,
            self._crash_quarantine,
            self._metrics,
            self._clock,
        )
        self._exchanges = exchanges.ExchangeTable(
            incarnation, self._metrics, self._clock
        )
        picker = twochoices.TwoChoicesPicker(
            rng,
            self._clock,
            tracking.Location(file.node.name, file.node.failure_domain),
            self._store.floor,
        )
        self._path_prober = pathprober.PathProber(
            picker.paths,
            self._membership.pinger,
            self._members,
            self._transport,
            self._clock,
            self._tasks,
        )
        own_departure = departure.Departure(self._clock)
        self._forwarder = forward.Forwarder(
            self._members,
            self._transport,
            picker,
            self._exchanges,
            key_placement,
            holding.AlwaysHold(),
            self._metrics,
            self._clock,
            own_departure,
        )
        self._tls_context = None
        if file.node.tls_certificate:
            self._tls_context = tls.TlsContext(
                tls.settings_file_reader(file.path), self._metrics, self._clock
            )
        self._ingress = listener.Ingress(
            self._store,
            self._forwarder,
            self._metrics,
            self._clock,
            file.node.connections,
            self._tls_context,
        )
        self._drainer = drain.Drain(
            self._members,
            self._owner,
            self._ingress.server,
            self._membership.gossip.flush,
            own_departure,
            self._clock,
        )
        self._register()

    def _on_settings(self) -> None:
        workers.apply_limits(self._workers, self._store.services, self._clock)

    def _register(self) -> None:
        register = self._transport.on_message
        register(wire.Offer, self._owner.on_offer)
        register(wire.Go, self._owner.on_go)
        register(wire.Cancel, self._owner.on_cancel)
        register(wire.Resume, self._owner.on_resume)
        register(wire.ReplyReceived, self._owner.on_reply_received)
        register(wire.CrashNotice, self._crash_quarantine.on_notice)
        register(wire.ListAgeRequest, self._list_age_query.on_request)
        register(wire.ListAge, self._list_age_query.on_answer)
        register(wire.Held, self._exchanges.on_message)
        register(wire.Reply, self._exchanges.on_message)
        register(wire.Refusal, self._exchanges.on_message)
        self._transport.on_link_change(self._exchanges.on_link_change)
        self._transport.on_link_change(self._crash_quarantine.on_link_change)

    async def run(self) -> None:
        """Runs the node until its graceful shutdown has finished."""
        node = self._node_file.node
        self._transport.bind(node.link)
        self._membership.start()
        self._members.on_change(self._drainer.on_member_change)
        if self._tls_context is not None:
            self._tasks.supervise(
                self._tls_context.reload_periodically, "certificate"
            )
        self._health_tasks.start(self._tasks)
        self._tasks.supervise(self._path_prober.run, "path-watch")
        self._listen_admin(node.admin)
        self._ingress.listen(node.public, public=True)
        self._ingress.listen(node.internal, public=False)
        starting = self._tasks.spawn(self._start(), "boot")
        await self._stopping.wait()
        starting.cancel()
        await self._drain()

    async def _start(self) -> None:
        await self._boot.run(self._platform_poller.start)
        self._membership.anti_entropy.serving = True
        self._ingress.starting = False
        logger.info("serving")
        await self._list_age_query.run()

    def stop(self) -> None:
        """Requests a graceful shutdown; further calls have no effect."""
        self._stopping.set()

    def _listen_admin(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        application = server.make_application(
            self._metrics.registry,
            self._status,
            explain.Explainer(
                self._store, self._members, self._configured
            ).explain,
        )
        application.listen(int(port), address=host.strip("[]"))

    def _status(self) -> status.Status:
        collected = status.collect(
            self._node_file.node.name,
            self._boot.state,
            self._members,
            self._store,
            self._platform_poller,
            self._workers.values(),
            self._clock.monotonic(),
        )
        collected.health = healthstatus.collect(
            self._health, self._clock.monotonic()
        )
        collected.task_restarts = dict(self._metrics.task_restarts)
        return collected

    async def _drain(self) -> None:
        node = self._node_file.node
        await self._drainer.run(node.drain_ms / 1000, node.drain_idle_ms / 1000)
        await self._tasks.cancel()
        await self._ingress.server.close()
        await self._transport.close()
        self._platform_poller.close()
        logger.info("stopped")
