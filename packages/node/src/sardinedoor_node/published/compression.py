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
        self._cache: dict[str, wire.Item] = {}

    def compress(self, item: wire.Item) -> wire.Item:
        """Returns an item with its value compressed, if it is large."""
        if len(item.value) < _MIN_BYTES:
            return item
        cached = self._cache.get(item.key)
        if cached is None or cached.revision != item.revision:
            cached = msgspec.structs.replace(
                item, value=zlib.compress(item.value, _LEVEL), deflated=True
            )
            self._cache[item.key] = cached
        return cached


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
