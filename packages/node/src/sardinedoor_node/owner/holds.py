"""Holds: slots reserved for an offer until its ingress sends `Go`."""

from __future__ import annotations

import asyncio
import collections
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

# Time in which `Go` has to arrive after the slot is reserved.
LAPSE_MS = 500
_TICKET_BYTES = 16
_MAX_UNUSED_TICKETS = 2_000


class Hold:
    """A reserved slot, resolved by the first of `Go`, `Cancel` and lapse.

    Attributes:
        offer_id: Id of the offer.
        ticket: Random token that identifies the hold in `Go`.
        lapses_at: When the ticket lapses, by the owner's monotonic clock,
            in s.
    """

    def __init__(self, offer_id: bytes, lapses_at: float):
        """Starts unresolved, with a new ticket.

        Args:
            offer_id: Id of the offer.
            lapses_at: When the ticket lapses, by the owner's monotonic clock,
                in s.
        """
        self.offer_id = offer_id
        self.ticket = secrets.token_bytes(_TICKET_BYTES)
        self.lapses_at = lapses_at
        self._resolution: asyncio.Future[wire.Go | None] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, go: wire.Go | None) -> bool:
        """Resolves the hold unless it is resolved already.

        Args:
            go: The message that starts the run; None gives the slot up.

        Returns:
            False if the hold was resolved before.
        """
        if self._resolution.done():
            return False
        self._resolution.set_result(go)
        return True

    async def wait(self) -> wire.Go | None:
        """Waits until the hold is resolved; returns None if it was given up."""
        return await self._resolution


class HoldTable:
    """Index of open holds by ticket and offer, and of recent unused tickets."""

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._by_ticket: dict[bytes, Hold] = {}
        self._by_offer: dict[bytes, Hold] = {}
        self._unused_tickets: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def open(self, offer_id: bytes) -> Hold:
        """Opens a hold that lapses after `LAPSE_MS`."""
        lapse_s = LAPSE_MS / 1000
        hold = Hold(offer_id, self._clock.monotonic() + lapse_s)
        self._by_ticket[hold.ticket] = hold
        self._by_offer[offer_id] = hold
        loop = asyncio.get_running_loop()
        loop.call_later(lapse_s, hold.resolve, None)
        return hold

    def close(self, hold: Hold, used: bool) -> None:
        """Removes a resolved hold.

        Args:
            hold: The hold.
            used: Whether its request runs. An unused ticket is recorded, so
                that a late `Go` can be refused as not run.
        """
        del self._by_ticket[hold.ticket]
        del self._by_offer[hold.offer_id]
        if used:
            return
        self._unused_tickets[hold.ticket] = None
        if len(self._unused_tickets) > _MAX_UNUSED_TICKETS:
            self._unused_tickets.popitem(last=False)

    def deliver_go(self, go: wire.Go) -> bool:
        """Resolves the hold that a `Go` names; False if none is open."""
        hold = self._by_ticket.get(go.ticket)
        if hold is None or hold.offer_id != go.id:
            return False
        return hold.resolve(go)

    def cancel(self, offer_id: bytes) -> None:
        """Gives up the hold of an offer, if it has one."""
        hold = self._by_offer.get(offer_id)
        if hold is not None:
            hold.resolve(None)

    def has_lapsed(self, ticket: bytes) -> bool:
        """Returns whether a ticket certainly was not and will not be used."""
        return ticket in self._unused_tickets
