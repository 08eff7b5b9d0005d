"""When the store was last reached, by this node or by its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.util import listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock

# Entries expire in the store unless their workers renew them. Workers whose
# entries expired during an outage of the store, or were lost by a restore,
# publish them again within 2 s of its return; the rest covers the propagation
# among nodes.
LAPSE_GRACE_S = 2.35
# A store that this node can't reach is considered down once no peer has
# confirmed contact with it for this long either. A long poll of a reader and
# the gossip of its digest take less. While peers still reach the store,
# deletions are final.
OUTAGE_S = 2.6


class StoreContact:
    """Age of the last contact with the store, and its outages."""

    def __init__(self, time: clock.Clock, counters: metrics.Metrics):
        """Starts without any contact.

        Args:
            time: Source of the monotonic time.
            counters: Counts the failures of listeners.
        """
        self._clock = time
        self._listeners = listeners.ListenerGroup("contact confirmed", counters)
        self._confirmed_at = float("-inf")
        self._returned_at = float("-inf")
        self._unreachable = False

    @property
    def age_s(self) -> float:
        """Time since the replica was last known to be up to date, in s."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def confirmed_at(self) -> float:
        """Time at which the replica was last up to date, monotonic, in s."""
        return self._confirmed_at

    @property
    def lapses_at(self) -> float:
        """Time until which an entry that the store deletes now is kept.

        It is monotonic, in s, and in the past unless the store was away.
        """
        returned_at = self._returned_at
        if self._is_store_away():
            returned_at = self._clock.monotonic()
        return returned_at + LAPSE_GRACE_S

    def on_confirmed(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each later contact with the store."""
        self._listeners.add(listener)

    def confirm(self, age_s: float) -> None:
        """Records that the replica was up to date some time ago.

        Fresh contact also ends an outage of the store. Entries that the store
        deletes soon after an outage are kept for a while, since they may only
        have expired in it.

        Args:
            age_s: Time since the contact with the store, in s.
        """
        if self._is_store_away() and age_s < OUTAGE_S:
            self.returned()
        confirmed_at = self._clock.monotonic() - age_s
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._listeners.notify()

    def lost(self) -> None:
        """Records that this node can't reach the store."""
        self._unreachable = True

    def regained(self) -> None:
        """Records that this node reaches the store again."""
        if self._is_store_away():
            self.returned()
        self._unreachable = False

    def returned(self) -> None:
        """Records that the store has just returned from an outage."""
        self._returned_at = self._clock.monotonic()

    def _is_store_away(self) -> bool:
        return self._unreachable and OUTAGE_S < self.age_s < float("inf")
