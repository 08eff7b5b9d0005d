"""Settings bodies as they travel between nodes: compressed, and bounded."""

from __future__ import annotations

import zlib

from sardinedoor_node.settings import tree
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire

# A larger text is kept only as far as it takes to refuse it for its size.
MAX_TEXT_BYTES = tree.MAX_SUBTREE_BYTES + 1


class BodyError(Exception):
    """A body that doesn't hold a text."""


def pack(subtree: platform.Subtree) -> wire.Body:
    """Compresses a subtree for peers."""
    data = subtree.text.encode()[:MAX_TEXT_BYTES]
    return wire.Body(subtree.team, subtree.revision, zlib.compress(data))


def unpack(body: wire.Body) -> platform.Subtree:
    """Restores a subtree.

    Args:
        body: What a peer sent.

    Returns:
        The subtree; a text that is too large is cut just above the bound.

    Raises:
        BodyError: The data isn't a compressed UTF-8 text.
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
