"""Lookup of the worker at one address, which may be replaced over time."""

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


class ColocatedWorkerFinder(owner.WorkerFinder):
    """Finds the worker that is published at the node's worker address.

    A replacement of the worker has a new name. It shares the slots of its
    predecessor, whose requests may still be in flight.
    """

    def __init__(
        self,
        address: str,
        find_entry: Callable[[str], published.WorkerEntry | None],
        make_worker: Callable[[str, str], workers.LocalWorker],
        time: clock.Clock,
    ):
        """Starts without a worker.

        Args:
            address: Address of the worker.
            find_entry: Returns the published entry of a worker by its name.
            make_worker: Builds the worker from its name and service.
            time: The clock.
        """
        self._address = address
        self._find_entry = find_entry
        self._make_worker = make_worker
        self._clock = time
        self._current: workers.LocalWorker | None = None
        self._started_ms = 0

    def get(self, name: str) -> workers.LocalWorker | None:
        """See base class."""
        current = self._current
        entry = self._find_entry(name)
        if current is not None and current.name == name:
            current.set_drained(entry is None or not entry.accepts_requests)
            if entry is not None:
                self._detect_restart(current, entry)
            return current
        if entry is None or entry.address != self._address:
            return None
        if not entry.accepts_requests:
            return None
        worker = self._make_worker(name, entry.service)
        if current is not None:
            worker.inherit_slots(current)
        worker.resize(entry.slots, self._clock)
        self._current = worker
        self._started_ms = entry.started_ms
        logger.info(
            "worker adopted",
            extra={"worker": name, "service": entry.service},
        )
        return worker

    def refresh(self) -> None:
        """Applies a change of the published entries to the current worker."""
        if self._current is not None:
            self.get(self._current.name)

    def _detect_restart(
        self, current: workers.LocalWorker, entry: published.WorkerEntry
    ) -> None:
        if entry.started_ms > self._started_ms:
            logger.info(
                "worker started again",
                extra={"worker": entry.name, "born_ms": entry.started_ms},
            )
            self._started_ms = entry.started_ms
            current.started_again(self._clock.monotonic())

    def __iter__(self) -> Iterator[workers.LocalWorker]:
        return iter([self._current] if self._current else [])
