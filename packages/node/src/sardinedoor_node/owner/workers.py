"""The workers of one node and their slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.owner import target
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import owner
    from sardinedoor_schema.generated import settings

DEFAULT_SLOTS = 3


class LocalWorker:
    """One worker: its connections, and the requests it runs.

    Attributes:
        drained: Whether the settings no longer name it, so that it gets no
            new work.
    """

    def __init__(
        self,
        name: str,
        worker: settings.WorkerSettings,
        client: owner.Client | None = None,
    ):
        """Starts idle.

        Args:
            name: Name of the worker.
            worker: Its settings.
            client: Takes requests to it; by default over HTTP.
        """
        self.name = name
        self.service = worker.service
        self.client = client or target.TargetClient(worker.address)
        self.slots = DEFAULT_SLOTS
        self.in_flight = 0
        self.drained = False

    def reserve(self) -> bool:
        """Takes a slot; False if all are in use."""
        if self.in_flight >= self.slots:
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Gives a slot back."""
        self.in_flight -= 1

    def load(self) -> wire.Load:
        """Returns the load to tell others."""
        return wire.Load(in_flight=self.in_flight)
