"""How long requests of each urgency may expect to wait for a slot.

It answers a load at which urgent requests alone exceed the slots: others that wait
are passed by newer, urgent ones, so that the estimate of their wait is too short and
most of them would be refused only after the whole of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

_MIN_SHARE = 0.05
_MAX_SHARE = 1.0
# One wait in vain outweighs this many that end with a slot.
_DECREASE = 0.2
_INCREASE = 0.01


class WaitShares:
    """Limits the expected wait of a request to a share of its longest wait.

    Each wait that ends without a slot lowers the share of its urgency, and each
    one that ends with a slot raises it, so that waits in vain stay rare.
    """

    def __init__(self) -> None:
        self._shares: dict[Hashable, float] = {}

    def share(self, urgency: Hashable) -> float:
        """Returns the share for an urgency, above 0 and at most 1."""
        return self._shares.get(urgency, _MAX_SHARE)

    def wait_ended(self, urgency: Hashable, granted: bool) -> None:
        """Adjusts the share of an urgency.

        Args:
            urgency: The urgency of a request that waited.
            granted: Whether it got a slot.
        """
        change = _INCREASE if granted else -_DECREASE
        share = self.share(urgency) + change
        self._shares[urgency] = min(_MAX_SHARE, max(_MIN_SHARE, share))
