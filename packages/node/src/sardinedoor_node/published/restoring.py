"""What a replica has in force when the store is restored, and the log of it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from sardinedoor_node import published
    from sardinedoor_node.published import itemtable
    from sardinedoor_node.published import retained
    from sardinedoor_node.published import workerindex
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)


def items_in_force(
    table: itemtable.ItemTable,
    kept: retained.RetainedItems,
    workers: workerindex.WorkerIndex,
    decoder: published.Decoder,
) -> dict[str, wire.Item]:
    """Returns the items that are in force by key.

    The entries of workers whose address another one has taken are marked as
    deleted. Those that were missing from the last copy aren't, as long as their
    workers may still write again.

    Args:
        table: The items of the store.
        kept: The items that replace some of them.
        workers: The entries of the workers.
        decoder: Tells to which worker an item belongs.
    """
    found = {item.key: item for item in table.all()}
    for replacement in kept.all():
        found[replacement.item.key] = replacement.item
    for item in kept.missing():
        name = decoder.worker_name(item.key)
        if name is not None and workers.is_lapsed(name):
            found[item.key] = item
    for key, item in found.items():
        name = decoder.worker_name(key)
        if name is not None and workers.is_replaced(name):
            found[key] = msgspec.structs.replace(item, deleted=True)
    return found


def log_restored(
    version: published.Version, previous: published.Version, origin: str
) -> None:
    """Logs that the replica has changed its epoch.

    Args:
        version: Version of the replica.
        previous: Its version before.
        origin: Where the snapshot came from.
    """
    logger.warning(
        "store restored",
        extra={
            "origin": origin,
            "epoch": version.epoch,
            "revision": version.revision,
            "previous_epoch": previous.epoch,
            "previous_revision": previous.revision,
        },
    )


def log_older(
    update: published.Update, own: published.Version, origin: str
) -> None:
    """Logs a snapshot that is older than the replica.

    Args:
        update: The snapshot.
        own: Version of the replica.
        origin: Where the snapshot came from.
    """
    logger.warning(
        "snapshot is older than the replica, ignored",
        extra={
            "origin": origin,
            "epoch": update.epoch,
            "revision": update.revision,
            "own_epoch": own.epoch,
            "own_revision": own.revision,
        },
    )
