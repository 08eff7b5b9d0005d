"""Election of the few nodes in each failure domain that read the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.membership import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

MIN_READERS = 2
UNREPORTED_GRACE_S = 10.0
EXTRA_READER_INTERVAL_S = 60.0
MAX_READERS = 6


class ReaderElection:
    """Elects readers by rendezvous hashing over the failure domain's nodes.

    Each node decides from its own member table, without consensus. If the
    tables differ, there are only more or fewer readers than needed.
    """

    def __init__(
        self,
        members: table.MemberTable,
        platform_age_s: Callable[[], float | None],
        time: clock.Clock,
    ):
        """Stores the collaborators.

        Args:
            members: The member table.
            platform_age_s: Returns the time since any node read the platform,
                in s; None if no read is known.
            time: The clock.
        """
        self._members = members
        self._platform_age_s = platform_age_s
        self._clock = time
        self._started_at = time.monotonic()

    @property
    def rank(self) -> int:
        """Number of candidates in the failure domain with a higher score."""
        own = self._members.own
        uptime_s = self._clock.monotonic() - self._started_at
        own_score = _score(own.name)
        return sum(
            1
            for entry in self._members.entries.values()
            if entry.failure_domain == own.failure_domain
            and entry.name != own.name
            and _is_candidate(entry, uptime_s)
            and _score(entry.name) > own_score
        )

    @property
    def reader_count(self) -> int:
        """Number of readers in this failure domain.

        It grows step by step as long as no reader of the fleet reaches the
        platform.
        """
        age_s = self._platform_age_s()
        if age_s is None:
            age_s = self._clock.monotonic() - self._started_at
        return min(
            MIN_READERS + int(age_s // EXTRA_READER_INTERVAL_S), MAX_READERS
        )

    def is_reader(self) -> bool:
        """Returns whether this node is a reader now."""
        return self.rank < self.reader_count


def _is_candidate(entry: table.Entry, uptime_s: float) -> bool:
    if entry.leaving:
        return False
    unreported = not entry.incarnation
    return entry.alive or (unreported and uptime_s < UNREPORTED_GRACE_S)


def _score(name: str) -> int:
    return records.hash64(f"reader/{name}".encode())
