"""Which node to ask for an organisation's allowance, as one node sees it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.organisations import homes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sardinedoor_node.util import clock

# A node that didn't answer isn't asked again for this long, unless it is heard, in s.
# The time doubles with each further failure.
SUSPICION_S = 2.0
_MAX_SUSPICION_S = 30.0
# Interval at which a node that takes the place of a home asks whether it is back, in
# s. Until then both may grant.
_HOME_PROBE_INTERVAL_S = 0.2
# A node that heard from no other for this long is cut off, in s.
_ISOLATION_S = 3.0


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """A node that didn't answer.

    Attributes:
        until: Until when it isn't asked, monotonic, in s.
        duration_s: Length of the suspicion after its next failure, in s.
        probed_at: When it was last asked whether it is back, monotonic, in s.
    """

    until: float = float("-inf")
    duration_s: float = SUSPICION_S
    probed_at: float = float("-inf")


class HomeFinder:
    """Finds homes by consistent hashing, and passes over silent nodes."""

    def __init__(
        self,
        own_name: str,
        members: Callable[[], list[str]],
        time: clock.Clock,
    ):
        """Starts without suspicions.

        Args:
            own_name: Name of this node.
            members: Returns the nodes that may keep accounts, the same list
                until it changes.
            time: Source of the monotonic time.
        """
        self._own_name = own_name
        self._members = members
        self._clock = time
        self._ring = homes.HomeRing()
        self._listed: list[str] = []
        self._changed_at = time.monotonic()
        self._heard_at = time.monotonic()
        self._suspicions: dict[str, _Suspicion] = {}

    @property
    def node_count(self) -> int:
        """Number of nodes that may keep accounts, at least 1."""
        return max(1, len(self._listed))

    @property
    def is_isolated(self) -> bool:
        """Whether this node has heard from no other for long."""
        if len(self._listed) < 2:
            return False
        return self._clock.monotonic() - self._heard_at > _ISOLATION_S

    def heard(self, name: str) -> None:
        """Records a sign of life of another node."""
        self._heard_at = self._clock.monotonic()
        self._suspicions.pop(name, None)

    def suspect(self, name: str) -> None:
        """Records that a node didn't answer."""
        suspicion = self._suspicions.setdefault(name, _Suspicion())
        suspicion.until = self._clock.monotonic() + suspicion.duration_s
        suspicion.duration_s = min(2 * suspicion.duration_s, _MAX_SUSPICION_S)

    def home(self, organisation: str) -> str:
        """Returns the home of an organisation, whether it answers or not."""
        self._update()
        return self._ring.home(organisation)

    def candidates(self, organisation: str) -> Iterator[str]:
        """Yields the nodes to ask in turn, without those that are suspected."""
        self._update()
        now = self._clock.monotonic()
        for name in self._ring.candidates(organisation):
            suspicion = self._suspicions.get(name)
            if suspicion is None or suspicion.until <= now:
                yield name

    def is_own(self, organisation: str) -> bool:
        """Returns whether this node grants an organisation's allowance."""
        home = next(self.candidates(organisation), self._own_name)
        return home == self._own_name and not self.is_isolated

    def is_settled(self, organisation: str, window_s: float) -> bool:
        """Returns whether no other node kept the account within a window.

        Args:
            organisation: Name of the organisation.
            window_s: Length of the window, in s.
        """
        if self._clock.monotonic() - self._changed_at < window_s:
            return False
        return self.home(organisation) == self._own_name

    def home_to_probe(self, organisation: str) -> str | None:
        """Returns the home to ask whether it is back, None if none is due.

        Args:
            organisation: An organisation whose allowance this node grants.
        """
        home = self.home(organisation)
        suspicion = self._suspicions.get(home)
        now = self._clock.monotonic()
        if suspicion is None:
            return None
        if now - suspicion.probed_at < _HOME_PROBE_INTERVAL_S:
            return None
        suspicion.probed_at = now
        return home

    def _update(self) -> None:
        members = self._members()
        if members is not self._listed:
            self._listed = members
            if self._ring.update(members):
                self._changed_at = self._clock.monotonic()
