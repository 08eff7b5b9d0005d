"""Policies for reserving a slot before a non-idempotent request is sent.

A hold is a slot that an owner reserves for a request, at the cost of a round
trip. Without a hold the request is attached to the offer, and its outcome is
unknown if the owner doesn't answer the offer.
"""

from __future__ import annotations

import abc

RECENTLY_HEARD_S = 0.5


class HoldPolicy(abc.ABC):
    """Decides whether a request waits for a hold or is sent at once."""

    @abc.abstractmethod
    def needs_hold(self, silence_s: float) -> bool:
        """Returns whether to ask for a hold first.

        Args:
            silence_s: Time since the owner's node last sent a message, in s;
                infinite if it never did.
        """


class AlwaysHold(HoldPolicy):
    """Asks for a hold before each request."""

    def needs_hold(self, silence_s: float) -> bool:
        """See base class."""
        return True


class HoldUnlessHeard(HoldPolicy):
    """Asks for a hold unless the owner was heard from within a heartbeat."""

    def needs_hold(self, silence_s: float) -> bool:
        """See base class."""
        return silence_s > RECENTLY_HEARD_S


class NeverHold(HoldPolicy):
    """Attaches each request to its offer."""

    def needs_hold(self, silence_s: float) -> bool:
        """See base class."""
        return False
