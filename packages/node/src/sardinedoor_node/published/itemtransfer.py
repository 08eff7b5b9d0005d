"""Messages that transfer published items from one replica to another."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import published
from sardinedoor_node.published import compression
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node.published import catalog

logger = logging.getLogger(__name__)

_LONGEST_CONTACT_AGE_S = 1e6


class _UnreadableItemError(Exception):
    def __init__(self, key: str, reason: str):
        super().__init__(reason)
        self.key = key


class ItemTransfer:
    """Makes the messages with a replica's items, and applies those of peers."""

    def __init__(self, replica: catalog.Catalog, counters: metrics.Metrics):
        """Creates a transfer; nothing is compressed yet.

        Args:
            replica: Replica of the published items.
            counters: Counts the messages that aren't used.
        """
        self._catalog = replica
        self._metrics = counters
        self._logged_unplaced = False
        self._compressor = compression.ItemCompressor()
        # Has items with the same keys as those of the store.
        self._retained_compressor = compression.ItemCompressor()

    def contact_ms(self) -> int:
        """Returns the age of the replica's last contact, in ms."""
        age_s = min(self._catalog.contact_age_s, _LONGEST_CONTACT_AGE_S)
        return int(age_s * 1000)

    def make_changes(
        self, version: published.Version, retained: int, inflates: bool
    ) -> wire.Items:
        """Returns the items that a peer lacks, and the retained ones.

        Args:
            version: Version of the peer's replica.
            retained: Checksum of the items that the peer retains. Those of this
                node are left out if they are the same.
            inflates: Whether the peer reads compressed items.
        """
        update = self._catalog.changes_since(version)
        items = update.items
        if inflates:
            items = [self._compressor.compress(item) for item in items]
        differs = self._catalog.retained_checksum != retained
        return wire.Items(
            update.revision,
            self.contact_ms(),
            update.is_snapshot,
            items,
            update.epoch,
            self._retained(inflates) if differs else [],
            0 if update.is_snapshot else version.revision,
        )

    def make_retained(self, inflates: bool) -> wire.Items:
        """Returns only the items that are retained, none of the store's.

        Args:
            inflates: Whether the peer reads compressed items.
        """
        version = self._catalog.version
        return wire.Items(
            version.revision,
            self.contact_ms(),
            epoch=version.epoch,
            since=version.revision,
            retained=self._retained(inflates),
        )

    def make_pull(self) -> wire.ItemsPull:
        """Returns a request for the items that this node lacks."""
        version = self._catalog.version
        return wire.ItemsPull(
            version.revision,
            True,
            version.epoch,
            self._catalog.retained_checksum,
        )

    def apply(self, message: wire.Items) -> bool:
        """Applies the items of a peer, and merges those that it retains.

        Returns:
            False if the message was ignored, since it has an item that can't be
            read, or items that can't be compared with the own ones.
        """
        update = published.Update(
            message.revision, message.items, message.whole, message.epoch
        )
        if is_unplaced(update.version, self._catalog.version):
            self._record_unplaced(message)
            return False
        if not message.whole and message.since > self._catalog.revision:
            # They answer an earlier process of this node, and leave a gap.
            self._metrics.event("items_with_gap")
            return False
        try:
            update.items = [_inflate(item) for item in message.items]
            retained = [
                msgspec.structs.replace(kept, item=_inflate(kept.item))
                for kept in message.retained
            ]
        except _UnreadableItemError as e:
            # Without this item the replica would be at a version that it
            # doesn't hold.
            logger.warning(
                "items of a peer refused",
                extra={"key": e.key, "reason": str(e)},
            )
            return False
        self._catalog.apply(update, "peer", retained)
        if self._catalog.version == update.version:
            self._catalog.confirm_current(message.contact_ms / 1000)
        return True

    def _record_unplaced(self, message: wire.Items) -> None:
        self._metrics.event("items_without_epoch")
        if not self._logged_unplaced:
            self._logged_unplaced = True
            logger.info(
                "items of peers that don't know epochs aren't used",
                extra={"revision": message.revision},
            )

    def _retained(self, inflates: bool) -> list[wire.RetainedItem]:
        if not self._catalog.retained_checksum:
            return []
        found = self._catalog.retained_items()
        if not inflates:
            return found
        compress = self._retained_compressor.compress
        return [
            msgspec.structs.replace(kept, item=compress(kept.item))
            for kept in found
        ]


def is_unplaced(theirs: published.Version, own: published.Version) -> bool:
    """Returns whether a peer's version can't be compared with the own one.

    The peer is empty, or it runs an older version of the program, which doesn't
    know epochs.
    """
    return theirs.epoch == published.UNKNOWN_EPOCH != own.epoch


def _inflate(item: wire.Item) -> wire.Item:
    outcome = compression.inflate(item)
    if outcome.is_err():
        raise _UnreadableItemError(item.key, outcome.unwrap_err())
    return outcome.unwrap()
