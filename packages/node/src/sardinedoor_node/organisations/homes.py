"""Which node keeps the account of an organisation."""

from __future__ import annotations

import bisect
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

# Positions of each node, so that a node that goes away is replaced by several.
_POINTS_PER_NODE = 4
_POSITION_BYTES = 8


class HomeRing:
    """Consistent hashing of organisations onto nodes.

    Nodes with the same members agree without messages, and a change of the
    members moves few organisations.
    """

    def __init__(self) -> None:
        self._nodes: frozenset[str] = frozenset()
        self._points: list[tuple[bytes, str]] = []

    def update(self, nodes: Collection[str]) -> bool:
        """Replaces the members; returns whether they have changed."""
        current = frozenset(nodes)
        if current == self._nodes:
            return False
        self._points = [p for p in self._points if p[1] in current]
        for node in current - self._nodes:
            self._points += [
                (_position(f"{node}/{number}"), node)
                for number in range(_POINTS_PER_NODE)
            ]
        self._points.sort()
        self._nodes = current
        return True

    def home(self, organisation: str) -> str:
        """Returns the home of an organisation, empty if there are no members."""
        return next(self.candidates(organisation), "")

    def candidates(self, organisation: str) -> Iterator[str]:
        """Yields the members for an organisation, its home first."""
        start = bisect.bisect(self._points, (_position(organisation), ""))
        seen = set()
        for offset in range(len(self._points)):
            node = self._points[(start + offset) % len(self._points)][1]
            if node not in seen:
                seen.add(node)
                yield node


def _position(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=_POSITION_BYTES).digest()
