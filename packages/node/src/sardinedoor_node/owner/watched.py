"""A client that records what became of each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node import owner
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sardinedoor_node.health import monitor
    from sardinedoor_node.owner import gate
    from sardinedoor_schema.generated import settings
    from sardinedoor_schema.generated import wire

_SERVER_ERROR = 500


class WatchedClient(owner.WrappingClient):
    """Passes requests on, and their outcomes to the health monitor."""

    def __init__(
        self, name: str, inner: owner.Client, health_of: monitor.HealthMonitor
    ):
        """Remembers its parts.

        Args:
            name: Name of the worker.
            inner: Takes the requests to it.
            health_of: Judges the node's workers.
        """
        self._name = name
        super().__init__(inner)
        self._health = health_of

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        run = self._health.started(self._name)
        kind = None
        try:
            reply = await self._inner.run(request, idempotent, remaining_s)
            kind = kind_of(reply)
        finally:
            self._health.finished(self._name, run, kind)
        return reply


def kind_of(reply: target.TargetReply) -> health.Kind | None:
    """Classes a reply as evidence on the target; None if it is none."""
    if reply.suspects_connection or reply.code == codes.Code.DEADLINE_EXPIRED:
        return None
    if reply.code == codes.Code.TARGET_TIMEOUT:
        return health.Kind.TIMEOUT
    if reply.code != codes.Code.ANSWERED or reply.status >= _SERVER_ERROR:
        return health.Kind.ERROR
    return health.Kind.ANSWERED


def make_workers(
    found: Mapping[str, settings.WorkerSettings],
    health_of: monitor.HealthMonitor,
    admission: gate.Gate,
) -> dict[str, workers.LocalWorker]:
    """Makes the node's workers, watched by the health monitor.

    Args:
        found: Settings of the workers by name.
        health_of: Judges them.
        admission: Decides on offers to them.
    """
    made = {}
    for name, worker in found.items():
        client = WatchedClient(
            name, target.TargetClient(worker.address), health_of
        )
        made[name] = workers.LocalWorker(name, worker, client)
        made[name].gate = admission
    return made
