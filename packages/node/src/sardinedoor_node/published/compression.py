"""Compression of large items on the links between nodes.

A configuration of some hundred routes has a few hundred kilobytes, which take
half a second on the slowest links.
"""

from __future__ import annotations

import zlib

import msgspec
import result

from sardinedoor_schema.generated import wire

_MIN_BYTES = 2048
# Higher levels save little on JSON and cost small nodes processor time.
_LEVEL = 1
MAX_INFLATED_BYTES = 8 * 1024 * 1024


class ItemCompressor:
    """Compresses each version of an item once."""

    def __init__(self) -> None:
        # Each item with its compressed form.
        self._cache: dict[str, tuple[wire.Item, wire.Item]] = {}

    def compress(self, item: wire.Item) -> wire.Item:
        """Returns an item with its value compressed, if it is large."""
        if len(item.value) < _MIN_BYTES:
            return item
        known, compressed = self._cache.get(item.key, (None, None))
        # A restored store gives revisions out again, so that two versions of
        # an item can have the same one.
        if known is None or known != item:
            compressed = msgspec.structs.replace(
                item, value=zlib.compress(item.value, _LEVEL), deflated=True
            )
            self._cache[item.key] = item, compressed
        return compressed


def inflate(item: wire.Item) -> result.Result[wire.Item, str]:
    """Returns an item with its value as published.

    Args:
        item: An item as received from a peer.

    Returns:
        The item, or the reason why its value can't be read.
    """
    if not item.deflated:
        return result.Ok(item)
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(item.value, MAX_INFLATED_BYTES)
    except zlib.error as e:
        return result.Err(str(e))
    if not inflater.eof:
        return result.Err("the value is incomplete or too large")
    return result.Ok(msgspec.structs.replace(item, value=value, deflated=False))
