"""The worker at one address, whose identity changes with each start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.owner import workers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sardinedoor_node import published
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)


class AddressedWorkers(owner.WorkerFinder):
    """Finds the node's worker under the identity that it has now.

    All identities at the address share the slots, since requests of the one
    before may still run.
    """

    def __init__(
        self,
        address: str,
        entries: Callable[[str], published.WorkerEntry | None],
        make: Callable[[str, str], workers.LocalWorker],
        time: clock.Clock,
    ):
        """Starts without a worker.

        Args:
            address: Address of the worker.
            entries: Returns what is published of a worker by its name.
            make: Makes the worker from its name and service.
            time: The clock.
        """
        self._address = address
        self._entries = entries
        self._make = make
        self._clock = time
        self._current: workers.LocalWorker | None = None
        self._born_ms = 0

    def get(self, name: str) -> workers.LocalWorker | None:
        """See base class."""
        current = self._current
        entry = self._entries(name)
        if current is not None and current.name == name:
            current.drained = entry is None or not entry.takes_work
            if entry is not None:
                self._note_start(current, entry)
            return current
        if entry is None or entry.address != self._address:
            return None
        if not entry.takes_work:
            return None
        made = self._make(name, entry.service)
        if current is not None:
            made.take_over(current)
        made.resize(entry.slots, self._clock)
        self._current = made
        self._born_ms = entry.born_ms
        logger.info(
            "worker adopted",
            extra={"worker": name, "service": entry.service},
        )
        return made

    def _note_start(
        self, current: workers.LocalWorker, entry: published.WorkerEntry
    ) -> None:
        if entry.born_ms > self._born_ms:
            logger.info(
                "worker started again",
                extra={"worker": entry.name, "born_ms": entry.born_ms},
            )
            self._born_ms = entry.born_ms
            current.client.close()

    def __iter__(self) -> Iterator[workers.LocalWorker]:
        return iter([self._current] if self._current else [])
