"""Rendezvous hashing (highest random weight).

Each key ranks all names independently. Adding or removing a name therefore
doesn't change the order of the others.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_WEIGHT_BYTES = 8


def weight(key: bytes, name: str) -> bytes:
    """Returns the weight of a name for a key."""
    return hashlib.blake2b(
        name.encode(), key=key[:64], digest_size=_WEIGHT_BYTES
    ).digest()


def highest_ranked(key: bytes, names: Iterable[str]) -> str | None:
    """Returns the name with the highest weight for a key.

    Args:
        key: The key; only its first 64 bytes are used.
        names: The names to choose from.

    Returns:
        The name; None if there are no names.
    """
    return max(names, key=lambda n: (weight(key, n), n), default=None)


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Returns the names in order of decreasing weight for a key."""
    return sorted(names, key=lambda n: (weight(key, n), n), reverse=True)
