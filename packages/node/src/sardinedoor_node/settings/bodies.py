"""Compression of settings bodies for the transfer between nodes."""

from __future__ import annotations

import zlib

from sardinedoor_node.settings import tree
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire

# One byte more than allowed, so that a truncated text is refused for its size.
MAX_TEXT_BYTES = tree.MAX_SUBTREE_BYTES + 1


class BodyError(Exception):
    """A body can't be decompressed to text."""


def pack(subtree: platform.Subtree) -> wire.Body:
    """Compresses a subtree, truncated to `MAX_TEXT_BYTES`."""
    data = subtree.text.encode()[:MAX_TEXT_BYTES]
    return wire.Body(subtree.team, subtree.revision, zlib.compress(data))


def unpack(body: wire.Body) -> platform.Subtree:
    """Decompresses a subtree.

    Args:
        body: Body from a peer.

    Returns:
        The subtree, with a text truncated to `MAX_TEXT_BYTES`.

    Raises:
        BodyError: The data isn't compressed UTF-8 text.
    """
    try:
        data = zlib.decompressobj().decompress(body.data, MAX_TEXT_BYTES)
        text = data.decode(errors="strict")
    except zlib.error as e:
        raise BodyError(str(e)) from e
    except UnicodeDecodeError as e:
        if len(data) < MAX_TEXT_BYTES:
            raise BodyError(str(e)) from e
        text = data.decode(errors="replace")
    return platform.Subtree(body.team, body.revision, text)
