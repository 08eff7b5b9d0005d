"""One node: its parts, its start and its planned stop."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node import drain
from sardinedoor_node import metrics
from sardinedoor_node.admin import server
from sardinedoor_node.admin import status
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import listener
from sardinedoor_node.link import zeromq
from sardinedoor_node.membership import prober
from sardinedoor_node.membership import table
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import workers
from sardinedoor_node.picking import twochoices
from sardinedoor_node.platform import client
from sardinedoor_node.platform import reader
from sardinedoor_node.settings import store
from sardinedoor_node.util import clock
from sardinedoor_node.util import tasks
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.settings import nodefile

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 16


class Daemon:
    """Wires the parts of a node together."""

    def __init__(self, file: nodefile.NodeFile):
        """Builds the parts; nothing runs or listens yet.

        Args:
            file: The node's own settings.
        """
        self._file = file
        self._clock = clock.SystemClock()
        self._metrics = metrics.Metrics()
        self._tasks = tasks.TaskGroup()
        self._stopping = asyncio.Event()
        incarnation = secrets.token_bytes(INCARNATION_BYTES)
        self._own = wire.Member(
            name=file.node.name,
            incarnation=incarnation,
            link=file.node.link,
            failure_domain=file.node.failure_domain,
            region=file.node.region,
            workers=[
                wire.Worker(name, worker.service)
                for name, worker in file.workers.items()
            ],
        )
        self._store = store.SettingsStore()
        self._members = table.MemberTable(self._own)
        self._transport = zeromq.ZeromqTransport(file.node.name, self._metrics)
        self._prober = prober.Prober(
            self._members, self._transport, self._clock
        )
        self._platform = client.PlatformClient(file.node.platform)
        self._reader = reader.Reader(
            self._platform, self._store, self._members, self._clock
        )
        self._workers = {
            name: workers.LocalWorker(name, worker)
            for name, worker in file.workers.items()
        }
        self._store.on_change(self._on_settings)
        self._owner = exchange.Owner(self._workers, self._metrics, self._clock)
        self._exchanges = exchanges.ExchangeTable(incarnation, self._metrics)
        self._forwarder = forward.Forwarder(
            self._members,
            self._transport,
            twochoices.TwoChoicesPicker(random.Random()),
            self._exchanges,
            self._metrics,
            self._clock,
        )
        self._ingress = listener.Ingress(
            self._store,
            self._forwarder,
            self._metrics,
            self._clock,
            file.node.connections,
        )
        self._drainer = drain.Drain(
            self._members,
            self._owner,
            self._ingress.server,
            self._prober.announce,
            self._clock,
        )
        self._register()

    def _on_settings(self) -> None:
        workers.apply_limits(self._workers, self._store.services, self._clock)

    def _register(self) -> None:
        register = self._transport.on_message
        register(wire.Hello, self._prober.on_message)
        register(wire.Welcome, self._prober.on_message)
        register(wire.Offer, self._owner.on_offer)
        register(wire.Go, self._owner.on_go)
        register(wire.Cancel, self._owner.on_cancel)
        register(wire.Held, self._exchanges.on_message)
        register(wire.Reply, self._exchanges.on_message)
        register(wire.Refusal, self._exchanges.on_message)

    async def run(self) -> None:
        """Runs until a planned stop has finished."""
        node = self._file.node
        self._transport.bind(node.link)
        self._tasks.spawn(self._prober.run(), "prober")
        self._tasks.spawn(self._reader.watch_settings(), "settings")
        self._tasks.spawn(self._reader.watch_instances(), "instances")
        self._tasks.spawn(self._drainer.watch(), "leaving-watch")
        self._listen_admin(node.admin)
        await self._reader.settings_seen.wait()
        self._ingress.listen(node.public, public=True)
        self._ingress.listen(node.internal, public=False)
        logger.info("serving")
        await self._stopping.wait()
        await self._drain()

    def stop(self) -> None:
        """Begins the planned stop; more calls change nothing."""
        self._stopping.set()

    def _listen_admin(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        application = server.make_application(
            self._metrics.registry, self._status
        )
        application.listen(int(port), address=host.strip("[]"))

    def _status(self) -> status.Status:
        return status.collect(
            self._file.node.name,
            self._reader.settings_seen.is_set(),
            self._members,
            self._store,
        )

    async def _drain(self) -> None:
        node = self._file.node
        await self._drainer.run(node.drain_ms / 1000, node.drain_idle_ms / 1000)
        await self._tasks.cancel()
        await self._ingress.server.close()
        await self._transport.close()
        self._platform.close()
        logger.info("stopped")
