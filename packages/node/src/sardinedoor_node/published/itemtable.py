"""The published items at one version of the store."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

# A peer that needs older tombstones gets a snapshot instead.
_MAX_TOMBSTONES = 1_000


class ItemTable:
    """All items, and tombstones of those that were deleted lately.

    Attributes:
        epoch: Epoch of the store.
        revision: Revision of the store; 0 while the table was never filled.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._items: dict[str, wire.Item] = {}
        self._tombstones: collections.OrderedDict[str, wire.Item] = (
            collections.OrderedDict()
        )
        self._compacted_revision = 0
        self.epoch = published.UNKNOWN_EPOCH
        self.revision = 0

    @property
    def version(self) -> published.Version:
        """Version of the store."""
        return published.Version(self.epoch, self.revision)

    def get(self, key: str) -> wire.Item | None:
        """Returns an item, None if there is none."""
        return self._items.get(key)

    def all(self) -> Iterable[wire.Item]:
        """Lists all items."""
        return self._items.values()

    def precedes(self, update: published.Update) -> bool:
        """Returns whether an update brings the table to a later version."""
        if update.epoch == self.epoch:
            return update.revision > self.revision or (
                update.revision == self.revision and update.is_snapshot
            )
        if self.revision == 0:
            return True
        # Changes say nothing about the rest of a later epoch's items.
        return update.epoch > self.epoch and update.is_snapshot

    def is_replaced_by(self, update: published.Update) -> bool:
        """Returns whether revisions can't be compared with those of an update.

        A table that was filled by nodes that don't know epochs has revisions
        of the store's present epoch, unless they are greater.
        """
        if self.epoch == published.UNKNOWN_EPOCH:
            return update.revision < self.revision
        return update.epoch != self.epoch

    def put(self, item: wire.Item) -> bool:
        """Writes or deletes an item unless it is already known.

        Returns:
            Whether the item was new.
        """
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
        return True

    def advance(self, update: published.Update) -> None:
        """Sets the version after the items of an update were put."""
        self.epoch = update.epoch
        self.revision = update.revision
        if update.is_snapshot:
            self._compacted_revision = update.revision
            self._tombstones.clear()

    def replace(self, update: published.Update) -> list[wire.Item]:
        """Replaces all items by those of a snapshot of a later epoch.

        Returns:
            The items whose value differs, and tombstones of those that are gone.
        """
        replaced = self._items
        self._items = {i.key: i for i in update.items if not i.deleted}
        self.advance(update)
        changed = [
            item
            for key, item in self._items.items()
            if key not in replaced or replaced[key].value != item.value
        ]
        changed += [
            wire.Item(key, update.revision, deleted=True)
            for key in replaced
            if key not in self._items
        ]
        return changed

    def missing_in(self, snapshot: published.Update) -> list[wire.Item]:
        """Returns tombstones of the items that a snapshot doesn't have."""
        present = {item.key for item in snapshot.items}
        return [
            wire.Item(key, snapshot.revision, deleted=True)
            for key, item in self._items.items()
            if key not in present and item.revision <= snapshot.revision
        ]

    def changes_since(self, version: published.Version) -> published.Update:
        """Returns the update that a table at an earlier version needs.

        It is a snapshot if tombstones after that version were discarded, or if
        the version is of another epoch.
        """
        after = version.revision
        if version.epoch != self.epoch or after < self._compacted_revision:
            return published.Update(
                self.revision, list(self._items.values()), True, self.epoch
            )
        found = [i for i in self._items.values() if i.revision > after]
        found += [i for i in self._tombstones.values() if i.revision > after]
        return published.Update(self.revision, found, epoch=self.epoch)
