"""Items in force that a restored store doesn't have, or has in older form."""

from __future__ import annotations

import collections
import dataclasses
import logging
from typing import TYPE_CHECKING
import zlib

import msgspec

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node import metrics
    from sardinedoor_node import published
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Workers that left long ago aren't in a copy from which the store is restored.
_MAX_DEPARTED = 1_000
# Bounds the length of a log line.
_MAX_LOGGED_KEYS = 8


class RetainedItems:
    """The items that replace some of those of the store in the present epoch.

    An item is replaced only as long as it has the revision that it had when the
    store was restored. What is written after that is newer than both.
    """

    def __init__(
        self,
        decoder: published.Decoder,
        lease_s: float,
        time: clock.Clock,
        counters: metrics.Metrics,
    ):
        """Starts empty.

        Args:
            decoder: Decodes the items, to tell which was written later.
            lease_s: Time after which the store removes an entry that its
                worker hasn't renewed, in s.
            time: Source of the monotonic time.
            counters: Counts the items that are retained.
        """
        self._decoder = decoder
        self._lease_s = lease_s
        self._clock = time
        self._metrics = counters
        self._items: dict[str, wire.RetainedItem] = {}
        # Last entries of workers that the store no longer has. Those that were
        # missing from a copy aren't marked as deleted.
        self._departed: collections.OrderedDict[str, wire.Item] = (
            collections.OrderedDict()
        )
        self._checksum: int | None = 0
        # Keys of those that may have expired or been lost though they were there.
        self._uncertain: set[str] = set()
        # Times from which an entry that the store still has was renewed.
        self._renewed_at: dict[str, float] = {}
        # Keys and revisions of the store's entries that were renewed.
        self._renewed: set[tuple[str, int]] = set()

    @property
    def checksum(self) -> int:
        """Checksum by which two nodes compare what they retain; 0 for nothing."""
        if self._checksum is None:
            text = msgspec.msgpack.encode(
                [
                    (key, kept.replaces, kept.item.deleted, kept.item.value)
                    for key, kept in sorted(self._items.items())
                ]
            )
            self._checksum = (zlib.crc32(text) or 1) if self._items else 0
        return self._checksum

    def all(self) -> list[wire.RetainedItem]:
        """Lists the retained items."""
        return list(self._items.values())

    def get(self, key: str) -> wire.Item | None:
        """Returns the item that is in force for a key, None if the store's is."""
        kept = self._items.get(key)
        return kept.item if kept else None

    def put(self, item: wire.Item, replaces: int) -> None:
        """Retains an item.

        Args:
            item: The item; a deleted one has the last value before its deletion.
            replaces: Revision of the store's item that isn't used; 0 if the
                store has none.
        """
        self._metrics.event("published_item_retained")
        self._items[item.key] = wire.RetainedItem(item, replaces)
        self._checksum = None
        if item.deleted and item.key in self._uncertain:
            self._renewed_at[item.key] = self._clock.monotonic() + self._lease_s

    def discard(self, key: str) -> None:
        """Puts the store's item in force."""
        self._renewed_at.pop(key, None)
        if self._items.pop(key, None) is None:
            return
        self._checksum = None
        if not self._items:
            logger.info("nothing is retained from before the restore")

    def discard_renewed(self, confirmed_at: float) -> list[str]:
        """Puts entries in force that the store has kept beyond their lease.

        Their workers have renewed them, so they are there after all. This holds
        for workers that were missing or may have expired in an outage, not for
        those that drained or left.

        Args:
            confirmed_at: When the replica was last up to date, monotonic, in s.

        Returns:
            The keys of these entries.
        """
        found = [k for k, at in self._renewed_at.items() if at <= confirmed_at]
        for key in found:
            self._renewed.add((key, self._items[key].replaces))
            self.discard(key)
        return found

    def remember(
        self, item: wire.Item, has_left: bool, may_return: bool
    ) -> None:
        """Records the last entry of a worker that the store no longer has.

        Args:
            item: The entry.
            has_left: Whether it was deleted, and not only missing from a copy.
            may_return: Whether the worker may still be there.
        """
        if may_return:
            self._uncertain.add(item.key)
        else:
            self._uncertain.discard(item.key)
        self._departed[item.key] = msgspec.structs.replace(
            item, deleted=has_left
        )
        self._departed.move_to_end(item.key)
        if len(self._departed) > _MAX_DEPARTED:
            forgotten, _ = self._departed.popitem(last=False)
            self._uncertain.discard(forgotten)

    def forget(self, key: str) -> None:
        """Drops what is known of a worker that has left."""
        self._departed.pop(key, None)
        self._uncertain.discard(key)

    def missing(self) -> list[wire.Item]:
        """Lists the last entries of workers that were missing from a copy."""
        return [item for item in self._departed.values() if not item.deleted]

    def begin_epoch(
        self, stored: Iterable[wire.Item], in_force: dict[str, wire.Item]
    ) -> None:
        """Retains what is newer than the restored store says.

        Args:
            stored: The items of the restored store.
            in_force: The items that were in force before, by key; those of
                workers that have left are marked as deleted.
        """
        self._items.clear()
        self._renewed_at.clear()
        self._renewed.clear()
        self._checksum = None
        for item in stored:
            earlier = in_force.get(item.key)
            if earlier is None and item.key in self._departed:
                earlier = msgspec.structs.replace(
                    self._departed[item.key], deleted=True
                )
            if earlier is None:
                continue
            kept = self._choose(item, earlier)
            if kept is not None:
                self.put(kept, item.revision)
        if self._items:
            logger.warning(
                "items from before the restore retained",
                extra={
                    "items": len(self._items),
                    "keys": list(self._items)[:_MAX_LOGGED_KEYS],
                },
            )

    def _choose(
        self, stored: wire.Item, earlier: wire.Item
    ) -> wire.Item | None:
        """Returns what to retain of a worker instead of a restored entry.

        Workers number their writes, so entries of different epochs can be
        compared. Of two equal ones the worker that drains or has left counts.

        Args:
            stored: Entry as the restored store has it.
            earlier: Entry that was in force before.

        Returns:
            The earlier item; marked as deleted if the worker has left or the
            stored entry is of an earlier start. None if the stored one holds.
        """
        ours = _rank(self._decoder, earlier)
        theirs = _rank(self._decoder, stored)
        if ours is None or theirs is None:
            return None
        if theirs.drains or theirs.position > ours.position:
            return None
        if earlier.deleted or ours.drains:
            return earlier
        if theirs.position[0] < ours.position[0]:
            return msgspec.structs.replace(earlier, deleted=True)
        return None

    def is_preferred(self, kept: wire.RetainedItem) -> bool:
        """Returns whether a peer's item replaces the one that is retained here.

        All nodes choose the same item of any two, in whatever order they come.
        """
        item = kept.item
        own = self.get(item.key)
        if own is None:
            return (item.key, kept.replaces) not in self._renewed
        ours, theirs = _rank(self._decoder, own), _rank(self._decoder, item)
        if ours is None or theirs is None:
            return ours is None and theirs is not None
        return (theirs.position, item.deleted, theirs.drains, item.value) > (
            ours.position,
            own.deleted,
            ours.drains,
            own.value,
        )


@dataclasses.dataclass(slots=True)
class _Rank:
    """What tells which of two entries of a worker was written later.

    Attributes:
        position: Start time in ms of Unix time, and number of the write.
        drains: Whether the worker accepts no new requests.
    """

    position: tuple[int, int]
    drains: bool


def _rank(decoder: published.Decoder, item: wire.Item) -> _Rank | None:
    found = decoder.worker(item)
    if found is None or found.is_err():
        return None
    entry = found.unwrap()
    return _Rank((entry.started_ms, entry.sequence), not entry.accepts_requests)
