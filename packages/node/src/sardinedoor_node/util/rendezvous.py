"""Rendezvous hashing: each key ranks the names by itself."""

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


def highest(key: bytes, names: Iterable[str]) -> str | None:
    """Finds the name with the highest weight.

    Args:
        key: At most 64 bytes of it count.
        names: The names to choose from.

    Returns:
        The name; None if there are no names.
    """
    return max(names, key=lambda n: (weight(key, n), n), default=None)


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Sorts names by falling weight for a key."""
    return sorted(names, key=lambda n: (weight(key, n), n), reverse=True)
