"""The node's replica of the published items."""

from __future__ import annotations

import collections
import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_node.util import listeners
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Entries expire in the store unless their workers renew them. Workers whose
# entries expired during an outage of the store publish them again within 2 s
# of its return; the rest covers the propagation among nodes.
LAPSE_GRACE_S = 2.35
# A store that this node can't reach is considered down once no peer has
# confirmed contact with it for this long either. A long poll of a reader and
# the gossip of its digest take less. While peers still reach the store,
# deletions are final.
OUTAGE_S = 2.6
# A peer that needs older tombstones gets a snapshot instead.
_MAX_TOMBSTONES = 1_000
# Bounds the length of a log line.
_MAX_LOGGED_NAMES = 8


@dataclasses.dataclass(slots=True)
class _LapsedEntry:
    """An entry that may have expired only because the store was down.

    Attributes:
        entry: The entry as last published.
        expires_at: Time after which it is dropped, monotonic, in s.
    """

    entry: published.WorkerEntry
    expires_at: float


class Catalog:
    """Replica of the configuration and the worker entries.

    The store numbers all writes by a single revision counter, so replicas are
    ordered by their revision alone, whether an update comes from the store or
    from a peer. The replica never returns to a lower revision.
    """

    def __init__(
        self,
        decoder: published.Decoder,
        time: clock.Clock,
        counters: metrics.Metrics,
    ):
        """Creates an empty replica at revision 0.

        Args:
            decoder: Decodes the published items.
            time: Source of the monotonic time.
            counters: Counts the items that can't be read in full.
        """
        self._metrics = counters
        self._decoder = decoder
        self._clock = time
        self._items: dict[str, wire.Item] = {}
        self._tombstones: collections.OrderedDict[str, wire.Item] = (
            collections.OrderedDict()
        )
        self._compacted_revision = 0
        self._workers: dict[str, published.WorkerEntry] = {}
        self._lapsed: dict[str, _LapsedEntry] = {}
        self._workers_by_service: dict[str, list[published.WorkerEntry]] = {}
        self._newest_by_address: dict[str, published.WorkerEntry] = {}
        self._first_revision_by_worker: dict[str, int] = {}
        self._listeners = listeners.ListenerGroup("catalog changed", counters)
        self._contact_listeners = listeners.ListenerGroup(
            "contact confirmed", counters
        )
        self._confirmed_at = float("-inf")
        self._store_returned_at = float("-inf")
        self._store_unreachable = False
        self.revision = 0
        self.epoch = 0
        self.configuration: published.Configuration | None = None

    @property
    def version(self) -> published.Version:
        """Version of the store that this replica has."""
        return published.Version(self.epoch, self.revision)

    @property
    def contact_age_s(self) -> float:
        """Time since this replica was last known to be up to date, in s."""
        return self._clock.monotonic() - self._confirmed_at

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each update that changed the replica."""
        self._listeners.add(listener)

    def on_contact(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each later contact with the store."""
        self._contact_listeners.add(listener)

    def confirm_current(self, age_s: float) -> None:
        """Records that the replica was up to date some time ago.

        Fresh contact also ends an outage of the store. Entries that the store
        deletes soon after an outage are retained for a while, since they may
        only have expired in it.

        Args:
            age_s: Time since the contact with the store, in s.
        """
        if self._is_store_away() and age_s < OUTAGE_S:
            self._store_returned_at = self._clock.monotonic()
        confirmed_at = self._clock.monotonic() - age_s
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._contact_listeners.notify()

    def store_lost(self) -> None:
        """Records that this node can't reach the store."""
        self._store_unreachable = True

    def store_regained(self) -> None:
        """Records that this node reaches the store again."""
        if self._is_store_away():
            self._store_returned_at = self._clock.monotonic()
        self._store_unreachable = False

    def _is_store_away(self) -> bool:
        silent_s = self.contact_age_s
        return self._store_unreachable and OUTAGE_S < silent_s < float("inf")

    def worker(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker, None if it has none."""
        entry = self._workers.get(name)
        if entry is None and name in self._lapsed:
            self._expire_lapsed()
            lapsed = self._lapsed.get(name)
            return lapsed.entry if lapsed else None
        return entry

    def current_worker(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker unless a newer one replaced it.

        The entry of an incarnation that died stays until it expires. Of
        several entries with the same address only the newest can be valid.
        """
        entry = self.worker(name)
        if (
            entry is None
            or self._newest_by_address.get(entry.address) is not entry
        ):
            return None
        return entry

    def workers(self, service: str) -> list[published.WorkerEntry]:
        """Lists the workers of a service that accept new requests."""
        if self._lapsed:
            self._expire_lapsed()
        return self._workers_by_service.get(service, [])

    def all_workers(self) -> Iterable[published.WorkerEntry]:
        """Lists all workers, including those that are draining."""
        return self._workers.values()

    def is_configured(self, service: str) -> bool:
        """Returns whether the configuration in force has a service.

        Before there is a configuration, no service can be ruled out.
        """
        configuration = self.configuration
        return configuration is None or service in configuration.connections

    def changes_since(self, revision: int) -> published.Update:
        """Returns the update that a replica at an earlier revision needs.

        It is a snapshot if tombstones after that revision were discarded.
        """
        if revision < self._compacted_revision:
            return published.Update(
                self.revision, list(self._items.values()), True
            )
        found = [i for i in self._items.values() if i.revision > revision]
        found += [i for i in self._tombstones.values() if i.revision > revision]
        return published.Update(self.revision, found)

    def apply(self, update: published.Update, origin: str) -> bool:
        """Applies an update unless it is older than the replica.

        Args:
            update: Update from the store or from a peer.
            origin: Where the update comes from, for the log.

        Returns:
            True if any item changed.
        """
        if update.revision < self.revision or (
            update.revision == self.revision and not update.is_snapshot
        ):
            if update.is_snapshot:
                self._record_older(update, origin)
            return False
        items = list(update.items)
        if update.is_snapshot:
            items += self._implied_deletions(update)
        applied = [item for item in items if self._apply_item(item)]
        self.revision = update.revision
        if update.is_snapshot:
            self._compacted_revision = update.revision
            self._tombstones.clear()
        if applied:
            self._rebuild_indexes()
            logger.info(
                "published changes taken",
                extra={
                    "origin": origin,
                    "revision": self.revision,
                    "items": len(applied),
                    "keys": [item.key for item in applied[:_MAX_LOGGED_NAMES]],
                },
            )
            self._listeners.notify()
        return bool(applied)

    def _implied_deletions(self, update: published.Update) -> list[wire.Item]:
        """Returns tombstones for the items that a snapshot doesn't contain."""
        present = {item.key for item in update.items}
        return [
            wire.Item(key, update.revision, deleted=True)
            for key, item in self._items.items()
            if key not in present and item.revision <= update.revision
        ]

    def _apply_item(self, item: wire.Item) -> bool:
        known = self._items.get(item.key) or self._tombstones.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.deleted:
            self._items.pop(item.key, None)
            self._tombstones[item.key] = item
            if len(self._tombstones) > _MAX_TOMBSTONES:
                _, oldest = self._tombstones.popitem(last=False)
                self._compacted_revision = max(
                    self._compacted_revision, oldest.revision
                )
        else:
            self._tombstones.pop(item.key, None)
            self._items[item.key] = item
        self._decode(item)
        return True

    def _decode(self, item: wire.Item) -> None:
        name = self._decoder.worker_name(item.key)
        if name is not None:
            self._decode_worker(name, item)
            return
        if item.deleted:
            return
        found = self._decoder.configuration(item)
        if found is None:
            return
        if found.is_err():
            self._record_refused(item, found.unwrap_err())
            return
        configuration = found.unwrap()
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            self._record_refused(
                item, f"version {configuration.version} isn't newer"
            )
            return
        self.configuration = configuration
        if configuration.unknown_kinds:
            self._metrics.event("unknown_route_kind")
            logger.warning(
                "routes of unknown kinds are taken as not idempotent",
                extra={
                    "version": configuration.version,
                    "kinds": configuration.unknown_kinds[:_MAX_LOGGED_NAMES],
                },
            )
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "revision": item.revision,
            },
        )

    def _decode_worker(self, name: str, item: wire.Item) -> None:
        previous = self._workers.pop(name, None)
        if item.deleted:
            self._first_revision_by_worker.pop(name, None)
            if previous and previous.accepts_requests:
                self._retain_if_lapsed(name, previous)
            logger.info(
                "worker entry gone",
                extra={"worker": name, "kept": name in self._lapsed},
            )
            return
        self._lapsed.pop(name, None)
        found = self._decoder.worker(item)
        if found is None:
            return
        if found.is_err():
            self._record_refused(item, found.unwrap_err())
            return
        self._workers[name] = found.unwrap()
        self._first_revision_by_worker.setdefault(name, item.revision)

    def _retain_if_lapsed(
        self, name: str, entry: published.WorkerEntry
    ) -> None:
        now = self._clock.monotonic()
        returned = now if self._is_store_away() else self._store_returned_at
        if now < returned + LAPSE_GRACE_S:
            self._lapsed[name] = _LapsedEntry(entry, returned + LAPSE_GRACE_S)

    def _expire_lapsed(self) -> None:
        now = self._clock.monotonic()
        expired = [
            n for n, lapsed in self._lapsed.items() if lapsed.expires_at <= now
        ]
        for name in expired:
            del self._lapsed[name]
            logger.info("worker entry lapsed for good", extra={"worker": name})
        if expired:
            self._rebuild_indexes()
            self._listeners.notify()

    def _rebuild_indexes(self) -> None:
        newest: dict[str, published.WorkerEntry] = {}
        found = [lapsed.entry for lapsed in self._lapsed.values()]
        found += self._workers.values()
        for entry in sorted(found, key=self._precedence):
            newest[entry.address] = entry
        services: dict[str, list[published.WorkerEntry]] = {}
        for entry in newest.values():
            if entry.accepts_requests:
                services.setdefault(entry.service, []).append(entry)
        self._newest_by_address = newest
        self._workers_by_service = services

    def _precedence(
        self, entry: published.WorkerEntry
    ) -> tuple[bool, int, int]:
        """Orders the entries that claim one address; the last one holds.

        An entry of a service that isn't configured comes from another writer.
        """
        return (
            self.is_configured(entry.service),
            entry.started_ms,
            self._first_revision_by_worker.get(entry.name, 0),
        )

    def _record_older(self, update: published.Update, origin: str) -> None:
        self._metrics.event("older_snapshot_ignored")
        logger.warning(
            "snapshot is older than the replica, ignored",
            extra={
                "origin": origin,
                "revision": update.revision,
                "own_revision": self.revision,
            },
        )

    def _record_refused(self, item: wire.Item, reason: str) -> None:
        self._metrics.event("published_item_refused")
        logger.warning(
            "published item refused",
            extra={
                "key": item.key,
                "revision": item.revision,
                "reason": reason,
            },
        )
