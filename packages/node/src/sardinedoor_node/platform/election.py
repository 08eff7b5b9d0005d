"""Which nodes read the platform: a few in each failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.membership import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

READERS = 2
UNHEARD_S = 10.0
STEP_S = 60.0
MAX_READERS = 6


class ReaderRank:
    """Ranks this node among its failure domain by rendezvous hash.

    Nothing is agreed on: nodes whose views differ only read more or less
    often than needed.
    """

    def __init__(
        self,
        members: table.MemberTable,
        platform_age_s: Callable[[], float | None],
        time: clock.Clock,
    ):
        """Prepares the ranking.

        Args:
            members: The table.
            platform_age_s: Returns how long ago any node read the platform.
            time: Clock.
        """
        self._members = members
        self._platform_age_s = platform_age_s
        self._clock = time
        self._started = time.monotonic()

    @property
    def rank(self) -> int:
        """Number of nodes in the failure domain that go first."""
        own = self._members.own
        uptime_s = self._clock.monotonic() - self._started
        own_score = _score(own.name)
        return sum(
            1
            for entry in self._members.entries.values()
            if entry.failure_domain == own.failure_domain
            and entry.name != own.name
            and _may_read(entry, uptime_s)
            and _score(entry.name) > own_score
        )

    @property
    def readers(self) -> int:
        """Number of nodes that read in this failure domain.

        It grows slowly while no reader of the fleet reaches the platform.
        """
        age_s = self._platform_age_s()
        if age_s is None:
            age_s = self._clock.monotonic() - self._started
        return min(READERS + int(age_s // STEP_S), MAX_READERS)

    def is_reader(self) -> bool:
        """Tells whether this node should read the platform now."""
        return self.rank < self.readers


def _may_read(entry: table.Entry, uptime_s: float) -> bool:
    if entry.leaving:
        return False
    unheard = not entry.incarnation
    return entry.alive or (unheard and uptime_s < UNHEARD_S)


def _score(name: str) -> int:
    return records.hash64(f"reader/{name}".encode())
