"""Reporting of request outcomes to the health monitor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node import owner
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sardinedoor_node import metrics
    from sardinedoor_node.health import monitor
    from sardinedoor_node.owner import gate
    from sardinedoor_schema.generated import settings
    from sardinedoor_schema.generated import wire

_SERVER_ERROR = 500


class MonitoredClient(owner.DelegatingClient):
    """Reports the outcome of each request to the health monitor."""

    def __init__(
        self,
        name: str,
        inner: owner.Client,
        health_monitor: monitor.HealthMonitor,
    ):
        """Wraps a client.

        Args:
            name: Name of the worker.
            inner: The client that sends the requests.
            health_monitor: Health of the node's workers.
        """
        self._name = name
        super().__init__(inner)
        self._health = health_monitor

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        run = self._health.request_started(self._name)
        kind = None
        try:
            reply = await self._inner.run(request, idempotent, remaining_s)
            kind = classify(reply)
        finally:
            self._health.request_finished(self._name, run, kind)
        return reply


def classify(reply: target.TargetReply) -> health.OutcomeKind | None:
    """Classifies a reply as evidence of the target's health.

    Args:
        reply: The response or failure.

    Returns:
        The kind of evidence; None if the reply says nothing of the target.
    """
    if (
        reply.may_be_stale_connection
        or reply.code == codes.Code.DEADLINE_EXPIRED
    ):
        return None
    if reply.code == codes.Code.TARGET_TIMEOUT:
        return health.OutcomeKind.TIMEOUT
    if reply.code != codes.Code.ANSWERED or reply.status >= _SERVER_ERROR:
        return health.OutcomeKind.ERROR
    return health.OutcomeKind.ANSWERED


def make_workers(
    worker_settings: Mapping[str, settings.WorkerSettings],
    health_monitor: monitor.HealthMonitor,
    admission: gate.Gate,
    counters: metrics.Metrics,
) -> dict[str, workers.LocalWorker]:
    """Builds the node's workers with clients that report to the monitor.

    Args:
        worker_settings: Settings of the workers by name.
        health_monitor: Health of the node's workers.
        admission: Gate that admits or refuses offers to them.
        counters: Metrics of the node.

    Returns:
        The workers by name.
    """
    local = {}
    for name, worker in worker_settings.items():
        client = MonitoredClient(
            name, target.TargetClient(worker.address), health_monitor
        )
        local[name] = workers.LocalWorker(
            name, worker, client, counters=counters
        )
        local[name].gate = admission
    return local
