"""The less loaded of two random targets."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

from sardinedoor_node import picking

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from sardinedoor_node.membership import table


class TwoChoicesPicker(picking.Picker):
    """Compares two random targets by requests in flight from this node."""

    def __init__(self, rng: random.Random):
        """Starts with no request in flight.

        Args:
            rng: Source of randomness.
        """
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()

    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
    ) -> table.Target | None:
        """See base class."""
        usable = [c for c in candidates if c.worker not in tried]
        healthy = [c for c in usable if not c.ejected] or usable
        if not healthy:
            return None
        first = self._rng.choice(healthy)
        second = self._rng.choice(healthy)
        if self._in_flight[second.worker] < self._in_flight[first.worker]:
            return second
        return first

    def started(self, worker: str) -> None:
        """See base class."""
        self._in_flight[worker] += 1

    def finished(self, worker: str) -> None:
        """See base class."""
        self._in_flight[worker] -= 1
        if self._in_flight[worker] <= 0:
            del self._in_flight[worker]
