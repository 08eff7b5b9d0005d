"""When to ask for a hold before a request that isn't idempotent runs."""

from __future__ import annotations

import abc

HEARD_S = 0.5


class HoldPolicy(abc.ABC):
    """Decides between a hold and an attached request."""

    @abc.abstractmethod
    def holds(self, heard_s: float) -> bool:
        """Tells whether to hold first.

        Args:
            heard_s: Time since the owner was last heard from, in s.
        """


class AlwaysHold(HoldPolicy):
    """Holds before each request."""

    def holds(self, heard_s: float) -> bool:
        """See base class."""
        return True


class HoldUnlessHeard(HoldPolicy):
    """Holds only where the owner was not heard from within a heartbeat."""

    def holds(self, heard_s: float) -> bool:
        """See base class."""
        return heard_s > HEARD_S


class NeverHold(HoldPolicy):
    """Attaches each request to its offer."""

    def holds(self, heard_s: float) -> bool:
        """See base class."""
        return False
