"""Worker entries in force, by service and by address."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container

    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

_NO_VERSION = published.Version(published.UNKNOWN_EPOCH, 0)


@dataclasses.dataclass(slots=True)
class _LapsedEntry:
    """An entry that may only be missing because of a fault of the store.

    Attributes:
        entry: The entry as last published.
        expires_at: Time after which it is dropped, monotonic, in s.
    """

    entry: published.WorkerEntry
    expires_at: float


class WorkerIndex:
    """The entries of all workers, and those that are kept for a while.

    Changes take effect with the next `rebuild`.
    """

    def __init__(
        self,
        configured: Callable[[], Container[str] | None],
        on_expired: Callable[[], None],
        time: clock.Clock,
    ):
        """Creates an empty index.

        Args:
            configured: Returns the services that the configuration has, None
                without a configuration.
            on_expired: Called after a lapsed entry was dropped.
            time: Source of the monotonic time.
        """
        self._configured = configured
        self._on_expired = on_expired
        self._clock = time
        self._entries: dict[str, published.WorkerEntry] = {}
        self._lapsed: dict[str, _LapsedEntry] = {}
        self._withdrawn: dict[str, published.WorkerEntry] = {}
        self._by_service: dict[str, list[published.WorkerEntry]] = {}
        self._newest_by_address: dict[str, published.WorkerEntry] = {}
        self._first_version: dict[str, published.Version] = {}
        # Start times of the workers whose address a later one has taken.
        self._replaced: dict[str, int] = {}

    def get(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker, None if it has none."""
        entry = self._entries.get(name)
        if entry is None and name in self._lapsed:
            self._expire_lapsed()
            lapsed = self._lapsed.get(name)
            return lapsed.entry if lapsed else None
        return entry

    def current(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker unless a newer one replaced it."""
        entry = self.get(name)
        if (
            entry is None
            or self._newest_by_address.get(entry.address) is not entry
        ):
            return None
        return entry

    def is_replaced(self, name: str) -> bool:
        """Returns whether a later worker has taken the address for good."""
        entry = self._entries.get(name)
        return (
            entry is not None and self._replaced.get(name) == entry.started_ms
        )

    def accepting(self, service: str) -> list[published.WorkerEntry]:
        """Lists the workers of a service that accept new requests."""
        if self._lapsed:
            self._expire_lapsed()
        return self._by_service.get(service, [])

    def all(self) -> list[published.WorkerEntry]:
        """Lists all entries, with lapsed ones and those that aren't used."""
        return [
            *self._entries.values(),
            *self._withdrawn.values(),
            *(lapsed.entry for lapsed in self._lapsed.values()),
        ]

    def is_lapsed(self, name: str) -> bool:
        """Returns whether the entry is kept though it isn't published."""
        return name in self._lapsed

    def put(
        self, entry: published.WorkerEntry, version: published.Version
    ) -> None:
        """Sets the entry of a worker.

        Args:
            entry: The entry.
            version: Version of the store in which it was written.
        """
        self._withdrawn.pop(entry.name, None)
        self._lapsed.pop(entry.name, None)
        if self._replaced.get(entry.name) != entry.started_ms:
            self._replaced.pop(entry.name, None)
        self._entries[entry.name] = entry
        self._first_version.setdefault(entry.name, version)

    def remove(self, name: str, lapses_at: float) -> None:
        """Removes the entry of a worker.

        Args:
            name: Name of the worker.
            lapses_at: Time until which an entry that accepts requests is
                kept, monotonic, in s.
        """
        entry = self._entries.pop(name, None)
        self._withdrawn.pop(name, None)
        self._first_version.pop(name, None)
        self._replaced.pop(name, None)
        if (
            entry is not None
            and entry.accepts_requests
            and self._newest_by_address.get(entry.address, entry) is entry
            and self._clock.monotonic() < lapses_at
        ):
            self._lapsed[name] = _LapsedEntry(entry, lapses_at)

    def withdraw(self, entry: published.WorkerEntry) -> None:
        """Sets a published entry whose worker isn't to be used.

        An earlier entry of the worker that has lapsed stays in use.
        """
        self._entries.pop(entry.name, None)
        self._withdrawn[entry.name] = entry

    def discard(self, name: str) -> None:
        """Removes the entry of a worker for good."""
        self._entries.pop(name, None)
        self._withdrawn.pop(name, None)
        self._lapsed.pop(name, None)
        self._replaced.pop(name, None)
        self._first_version.pop(name, None)

    def extend_lapsed(self, lapses_at: float) -> None:
        """Keeps lapsed entries until a later time, monotonic, in s."""
        for lapsed in self._lapsed.values():
            lapsed.expires_at = max(lapsed.expires_at, lapses_at)

    def rebuild(self) -> None:
        """Brings the listings up to date with the entries."""
        newest: dict[str, published.WorkerEntry] = {}
        found = [lapsed.entry for lapsed in self._lapsed.values()]
        found += self._entries.values()
        for entry in sorted(found, key=self._precedence):
            if self._replaced.get(entry.name) == entry.started_ms:
                continue
            earlier = newest.get(entry.address)
            if earlier is not None:
                self._note_replaced(earlier, entry)
            newest[entry.address] = entry
        services: dict[str, list[published.WorkerEntry]] = {}
        for entry in newest.values():
            if entry.accepts_requests:
                services.setdefault(entry.service, []).append(entry)
        self._newest_by_address = newest
        self._by_service = services

    def _note_replaced(
        self, earlier: published.WorkerEntry, later: published.WorkerEntry
    ) -> None:
        """Records that a worker has ended, as another one has its address.

        Start times come from the workers' clocks, so the store's order has to
        agree before an entry is left out for good. Before there is a
        configuration, the later entry may be of another writer.
        """
        if self._configured() is None and earlier.service != later.service:
            return
        if earlier.name in self._lapsed:
            del self._lapsed[earlier.name]
        elif self._first_version[earlier.name] < self._first_version.get(
            later.name, _NO_VERSION
        ):
            self._replaced[earlier.name] = earlier.started_ms

    def _expire_lapsed(self) -> None:
        now = self._clock.monotonic()
        expired = [
            n for n, lapsed in self._lapsed.items() if lapsed.expires_at <= now
        ]
        for name in expired:
            del self._lapsed[name]
            logger.info("worker entry lapsed for good", extra={"worker": name})
        if expired:
            self.rebuild()
            self._on_expired()

    def _is_configured(self, service: str) -> bool:
        services = self._configured()
        return services is None or service in services

    def _precedence(
        self, entry: published.WorkerEntry
    ) -> tuple[bool, int, published.Version]:
        """Orders the entries that claim one address; the last one holds.

        An entry of a service that isn't configured comes from another writer.
        """
        return (
            self._is_configured(entry.service),
            entry.started_ms,
            self._first_version.get(entry.name, _NO_VERSION),
        )
