"""Selects the members that a node pings: its successors on hash rings."""

from __future__ import annotations

import bisect

from sardinedoor_node.membership import records

RING_COUNT = 3


class Rings:
    """Live members, ordered by a different hash on each ring.

    The union of a few random rings is an expander graph: gossip crosses it
    in a number of hops that grows with the logarithm of the fleet size, and
    each member is pinged by as many others as there are rings.
    """

    def __init__(self, own_name: str, count: int = RING_COUNT):
        """Creates empty rings.

        Args:
            own_name: The node's own name, which is never a successor.
            count: Number of rings.
        """
        self._own_positions = [
            _position(ring, own_name) for ring in range(count)
        ]
        self._own_name = own_name
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(count)]
        self._names: set[str] = set()

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Adds a live member; does nothing if present or the node itself."""
        if name in self._names or name == self._own_name:
            return
        self._names.add(name)
        for number, ring in enumerate(self._rings):
            bisect.insort(ring, (_position(number, name), name))

    def remove(self, name: str) -> None:
        """Removes a member if present."""
        if name not in self._names:
            return
        self._names.remove(name)
        for number, ring in enumerate(self._rings):
            position = (_position(number, name), name)
            del ring[bisect.bisect_left(ring, position)]

    def successors(self) -> list[str]:
        """Returns one member for each ring, all different where possible."""
        chosen: list[str] = []
        for number, ring in enumerate(self._rings):
            start = bisect.bisect(
                ring, (self._own_positions[number], self._own_name)
            )
            for step in range(min(len(ring), len(chosen) + 1)):
                name = ring[(start + step) % len(ring)][1]
                if name not in chosen:
                    chosen.append(name)
                    break
        return chosen


def _position(ring: int, name: str) -> int:
    return records.hash64(f"{ring}/{name}".encode())
