"""Reserved slots that wait for go."""

from __future__ import annotations

import asyncio
import collections
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

LAPSE_MS = 500
_TICKET_BYTES = 16
_LAPSED_TICKETS = 2_000


class Hold:
    """One reserved slot; the first of go, cancel and lapse decides."""

    def __init__(self, offer_id: bytes, lapses: float):
        """Starts undecided.

        Args:
            offer_id: Id of the offer.
            lapses: When the ticket lapses, by the owner's monotonic clock.
        """
        self.offer_id = offer_id
        self.ticket = secrets.token_bytes(_TICKET_BYTES)
        self.lapses = lapses
        self._decided: asyncio.Future[wire.Go | None] = (
            asyncio.get_running_loop().create_future()
        )

    def decide(self, go: wire.Go | None) -> bool:
        """Decides the hold; False if it was decided before.

        Args:
            go: The go; None gives the slot up.
        """
        if self._decided.done():
            return False
        self._decided.set_result(go)
        return True

    async def wait(self) -> wire.Go | None:
        """Waits for the decision."""
        return await self._decided


class HoldTable:
    """Holds by ticket and by offer, and tickets that lapsed unused."""

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._by_ticket: dict[bytes, Hold] = {}
        self._by_offer: dict[bytes, Hold] = {}
        self._lapsed: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def open(self, offer_id: bytes) -> Hold:
        """Opens a hold that lapses after `LAPSE_MS`."""
        lapse_s = LAPSE_MS / 1000
        hold = Hold(offer_id, self._clock.monotonic() + lapse_s)
        self._by_ticket[hold.ticket] = hold
        self._by_offer[offer_id] = hold
        loop = asyncio.get_running_loop()
        loop.call_later(lapse_s, hold.decide, None)
        return hold

    def close(self, hold: Hold, used: bool) -> None:
        """Forgets a decided hold.

        Args:
            hold: The hold.
            used: Whether its request runs. A ticket that wasn't used is
                remembered as lapsed.
        """
        del self._by_ticket[hold.ticket]
        del self._by_offer[hold.offer_id]
        if used:
            return
        self._lapsed[hold.ticket] = None
        if len(self._lapsed) > _LAPSED_TICKETS:
            self._lapsed.popitem(last=False)

    def go(self, go: wire.Go) -> bool:
        """Hands a go to its hold; False if it decides nothing."""
        hold = self._by_ticket.get(go.ticket)
        if hold is None or hold.offer_id != go.id:
            return False
        return hold.decide(go)

    def cancel(self, offer_id: bytes) -> None:
        """Gives up the hold of an offer."""
        hold = self._by_offer.get(offer_id)
        if hold is not None:
            hold.decide(None)

    def has_lapsed(self, ticket: bytes) -> bool:
        """Tells whether a ticket certainly was not and won't be used."""
        return ticket in self._lapsed
