"""The node's replica of the published items."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_node.published import contact
from sardinedoor_node.published import inforce
from sardinedoor_node.published import itemtable
from sardinedoor_node.published import refusals
from sardinedoor_node.published import restoring
from sardinedoor_node.published import retained
from sardinedoor_node.published import workerindex
from sardinedoor_node.util import listeners
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Sequence

    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Workers renew their entries about every 1.5 s, and miss it three times.
DEFAULT_LEASE_S = 4.5
# Bounds the length of a log line.
_MAX_LOGGED_NAMES = 8


class Catalog:
    """Replica of the configuration and the worker entries.

    The store numbers all writes of an epoch by a single revision counter, so
    replicas are ordered by epoch and revision, whether an update comes from the
    store or from a peer. The replica never returns to an earlier version.

    A later epoch begins when the store is restored from an older copy. Until what
    was lost is written again, the replica retains what was in force before: the
    configuration, the word of workers that drain or have left, and for a while
    the entries that the copy lacks.

    Attributes:
        awaits_peers: Whether the content comes from the store alone, and its
            configuration isn't in force before `admit`.
    """

    def __init__(
        self,
        decoder: published.Decoder,
        time: clock.Clock,
        counters: metrics.Metrics,
        asks_peers: bool = False,
        lease_s: float = DEFAULT_LEASE_S,
    ):
        """Creates an empty replica.

        Args:
            decoder: Decodes the published items.
            time: Source of the monotonic time.
            counters: Counts the items that can't be read in full.
            asks_peers: Whether a first content from a store that was restored
                is in force only after `admit`, since peers may know that it is
                older than what was in force before.
            lease_s: Time after which the store removes an entry that its
                worker hasn't renewed, in s.
        """
        self._metrics = counters
        self._decoder = decoder
        self._asks_peers = asks_peers
        self._table = itemtable.ItemTable()
        # Revision of the first content of the present epoch.
        self._first_revision = 0
        self._retained = retained.RetainedItems(
            decoder, lease_s + contact.LAPSE_GRACE_S, time, counters
        )
        self._listeners = listeners.ListenerGroup("catalog changed", counters)
        self._workers = workerindex.WorkerIndex(
            self._configured_services, self._listeners.notify, time
        )
        self._contact = contact.StoreContact(time, counters)
        self._configuration = inforce.ConfigurationInForce(counters)
        self.awaits_peers = False

    @property
    def configuration(self) -> published.Configuration | None:
        """The configuration in force, None if there is none yet."""
        return None if self.awaits_peers else self._configuration.value

    @property
    def retained_checksum(self) -> int:
        """Checksum of what is retained from before a restore; 0 for nothing."""
        return self._retained.checksum

    @property
    def version(self) -> published.Version:
        """Version of the store that this replica has."""
        return self._table.version

    @property
    def epoch(self) -> int:
        """Epoch of the store that the revision belongs to."""
        return self._table.epoch

    @property
    def revision(self) -> int:
        """Revision of the store that this replica has."""
        return self._table.revision

    @property
    def contact_age_s(self) -> float:
        """Time since this replica was last known to be up to date, in s."""
        return self._contact.age_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each update that changed the replica."""
        self._listeners.add(listener)

    def on_contact(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each later contact with the store."""
        self._contact.on_confirmed(listener)

    def confirm_current(self, age_s: float) -> None:
        """Records that the replica was up to date some time ago, in s."""
        self._contact.confirm(age_s)
        renewed = self._retained.discard_renewed(self._contact.confirmed_at)
        for item in filter(None, map(self._table.get, renewed)):
            self._decode(item)
        if renewed:
            self._workers.rebuild()
            self._listeners.notify()

    def store_lost(self) -> None:
        """Records that this node can't reach the store."""
        self._contact.lost()

    def store_regained(self) -> None:
        """Records that this node reaches the store again."""
        self._contact.regained()

    def worker(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker, None if it has none."""
        return self._workers.get(name)

    def current_worker(self, name: str) -> published.WorkerEntry | None:
        """Returns the entry of a worker unless a newer one replaced it.

        The entry of an incarnation that died stays until it expires. Of
        several entries with the same address only the newest can be valid.
        """
        return self._workers.current(name)

    def workers(self, service: str) -> list[published.WorkerEntry]:
        """Lists the workers of a service that accept new requests."""
        return self._workers.accepting(service)

    def all_workers(self) -> list[published.WorkerEntry]:
        """Lists all workers, including those that are draining."""
        return self._workers.all()

    def is_configured(self, service: str) -> bool:
        """Returns whether the configuration in force has a service.

        Before there is a configuration, no service can be ruled out.
        """
        services = self._configured_services()
        return services is None or service in services

    def _configured_services(self) -> Container[str] | None:
        configuration = self.configuration
        return configuration.connections if configuration else None

    def changes_since(self, version: published.Version) -> published.Update:
        """Returns the update that a replica at an earlier version needs."""
        return self._table.changes_since(version)

    def apply(
        self,
        update: published.Update,
        origin: str,
        kept: Sequence[wire.RetainedItem] = (),
    ) -> bool:
        """Applies an update unless it is older than the replica.

        Args:
            update: Update from the store or from a peer.
            origin: Where the update comes from, for the log.
            kept: What the peer retains from before a restore, of the epoch of
                the update. It is taken even if the update is older.

        Returns:
            True if any item changed.
        """
        if not self._table.precedes(update):
            if update.is_snapshot:
                self._metrics.event("older_snapshot_ignored")
                restoring.log_older(update, self.version, origin)
            if update.epoch == self.epoch:
                self._merge_retained(kept)
            return False
        if self.revision == 0 and origin == "store":
            self.awaits_peers = (
                self._asks_peers and update.epoch > published.FIRST_EPOCH
            )
        if update.epoch != self.epoch:
            self._first_revision = update.revision
        if self._table.is_replaced_by(update):
            applied = self._restore(update, origin)
        else:
            applied = self._advance(update)
        # Listeners are told once, so that no item of the copy is in force before.
        merged = [self._merge(item) for item in kept]
        if applied or any(merged):
            self._workers.rebuild()
            logger.info(
                "published changes taken",
                extra={
                    "origin": origin,
                    "epoch": self.epoch,
                    "revision": self.revision,
                    "items": len(applied),
                    "keys": [item.key for item in applied[:_MAX_LOGGED_NAMES]],
                },
            )
            self._listeners.notify()
        return bool(applied)

    def retained_items(self) -> list[wire.RetainedItem]:
        """Lists the items that are in force instead of those of the store."""
        return self._retained.all()

    def admit(self, reason: str) -> None:
        """Puts a configuration that came from the store alone in force.

        Args:
            reason: Why, for the log.
        """
        if not self.awaits_peers:
            return
        self.awaits_peers = False
        logger.info("content of the store admitted", extra={"reason": reason})
        self._listeners.notify()

    def _advance(self, update: published.Update) -> list[wire.Item]:
        """Applies an update of the present epoch.

        Returns:
            The items that changed.
        """
        items = list(update.items)
        if update.is_snapshot:
            items += self._table.missing_in(update)
        applied = [item for item in items if self._apply_item(item)]
        self._table.advance(update)
        return applied

    def _restore(
        self, update: published.Update, origin: str
    ) -> list[wire.Item]:
        """Replaces all items by those of a later epoch.

        Returns:
            The items that changed.
        """
        previous = self.version
        in_force = restoring.items_in_force(
            self._table, self._retained, self._workers, self._decoder
        )
        reinterpreted = {kept.item.key for kept in self._retained.all()}
        changed = self._table.replace(update)
        # Workers write what was lost again, as after an outage.
        self._contact.returned()
        self._workers.extend_lapsed(self._contact.lapses_at)
        self._retained.begin_epoch(self._table.all(), in_force)
        reinterpreted.update(kept.item.key for kept in self._retained.all())
        reinterpreted.difference_update(item.key for item in changed)
        changed += filter(None, map(self._table.get, reinterpreted))
        for item in changed:
            kept = self._retained.get(item.key)
            if item.key in in_force and (kept or item).deleted:
                self._drop(in_force[item.key])
            if not item.deleted:
                self._decode(item)
        self._retain_configuration()
        self._metrics.event("store_restored")
        restoring.log_restored(self.version, previous, origin)
        return changed

    def _drop(self, item: wire.Item) -> None:
        """Drops an item in force that the restored store doesn't have.

        A worker's entry is kept for a while unless the worker has left.
        """
        name = self._decoder.worker_name(item.key)
        if name is None:
            return
        self._retained.remember(
            item, has_left=item.deleted, may_return=not item.deleted
        )
        if self._workers.is_replaced(name):
            self._workers.discard(name)
        else:
            self._remove_worker(name)

    def _merge_retained(self, items: Sequence[wire.RetainedItem]) -> None:
        merged = [self._merge(kept) for kept in items]
        if any(merged):
            self._workers.rebuild()
            self._listeners.notify()

    def _merge(self, kept: wire.RetainedItem) -> bool:
        """Takes over one retained item; returns whether anything changed."""
        key = kept.item.key
        if self._decoder.worker_name(key) is None:
            before = self._configuration.value
            self._decode(kept.item)
            return self._configuration.value is not before
        own = self._table.get(key)
        if own is None or own.revision != kept.replaces:
            return False
        if own.revision > self._first_revision:
            # It was written after the restore.
            return False
        if not self._retained.is_preferred(kept):
            return False
        self._retained.put(kept.item, kept.replaces)
        self._decode(own)
        return True

    def _apply_item(self, item: wire.Item) -> bool:
        replaced = self._retained.get(item.key) or self._table.get(item.key)
        if not self._table.put(item):
            return False
        if not item.deleted:
            self._retained.forget(item.key)
        # Whatever is written after a restore is newer than what was retained.
        self._retained.discard(item.key)
        self._decode(item)
        if item.deleted and replaced is not None:
            name = self._decoder.worker_name(item.key)
            is_kept = name is not None and self._workers.is_lapsed(name)
            self._retained.remember(replaced, True, may_return=is_kept)
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
        is_stored = self._table.get(item.key) is item
        self._configuration.offer(found, item, is_stored)
        self._retain_configuration()

    def _decode_worker(self, name: str, item: wire.Item) -> None:
        if item.deleted:
            self._remove_worker(name)
            return
        earlier = self._retained.get(item.key)
        if earlier is not None and not earlier.deleted:
            item = earlier
        found = self._decoder.worker(item)
        if found is None or found.is_err():
            self._workers.discard(name)
            if found is not None:
                refusals.record(self._metrics, item, found.unwrap_err())
            return
        entry = found.unwrap()
        if earlier is not None and earlier.deleted:
            self._workers.withdraw(entry)
            return
        self._workers.put(entry, published.Version(self.epoch, item.revision))

    def _remove_worker(self, name: str) -> None:
        self._workers.remove(name, self._contact.lapses_at)
        logger.info(
            "worker entry gone",
            extra={"worker": name, "kept": self._workers.is_lapsed(name)},
        )

    def _retain_configuration(self) -> None:
        """Retains the configuration in force unless the store has it."""
        in_force = self._configuration.item
        if in_force is None:
            return
        stored = self._table.get(in_force.key)
        if stored is not None and stored.value == in_force.value:
            self._retained.discard(in_force.key)
        elif self._retained.get(in_force.key) is not in_force:
            self._retained.put(in_force, stored.revision if stored else 0)
