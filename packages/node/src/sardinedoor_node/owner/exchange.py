"""The owner's side of an exchange: reserve, hold, run once."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import secrets
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node.limits import deadlines
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.owner import target
    from sardinedoor_node.owner import workers
    from sardinedoor_node.util import clock

LAPSE_MS = 500
_TICKET_BYTES = 16
_LAPSED_TICKETS = 10_000
DIGEST_BYTES = 16


def digest(body: bytes) -> bytes:
    """Returns the digest that goes with a body on the link."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


class _Hold:
    """A reserved slot that waits for go."""

    def __init__(self, offer: wire.Offer, worker: workers.LocalWorker):
        self.offer = offer
        self.worker = worker
        self.go: asyncio.Future[wire.Go] = (
            asyncio.get_running_loop().create_future()
        )


class Owner:
    """Accepts offers for the node's own workers."""

    def __init__(
        self,
        local: dict[str, workers.LocalWorker],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        self._workers = local
        self._metrics = counters
        self._clock = time
        self._tasks = tasks.TaskGroup()
        self._holds: dict[bytes, _Hold] = {}
        self._lapsed: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self.leaving = False

    @property
    def busy(self) -> int:
        """Number of exchanges that are not finished."""
        return len(self._tasks)

    def on_offer(self, channel: link.Channel, offer: wire.Offer) -> None:
        """Starts the exchange for an offer."""
        self._tasks.spawn(self._exchange(channel, offer), "exchange")

    def on_go(self, channel: link.Channel, go: wire.Go) -> None:
        """Hands a go to the exchange that holds its ticket."""
        hold = self._holds.pop(go.ticket, None)
        if hold is not None:
            hold.go.set_result(go)
            return
        if go.ticket in self._lapsed:
            refusal = wire.Refusal(go.id, codes.Code.TICKET_LAPSED)
            channel.send(refusal)
            return
        # A ticket that was used may have run, so nothing can be said of it.
        self._metrics.dropped("go_without_ticket")

    def on_cancel(self, channel: link.Channel, cancel: wire.Cancel) -> None:
        """Frees the slot of an offer that won't be followed by go."""
        del channel
        for hold in list(self._holds.values()):
            if hold.offer.id == cancel.id:
                hold.go.cancel()

    async def _exchange(self, channel: link.Channel, offer: wire.Offer) -> None:
        deadline = self._clock.monotonic() + offer.remaining_ms / 1000
        worker = self._workers.get(offer.worker)
        refusal = self._refusal(offer, worker)
        if refusal is not None:
            channel.send(wire.Refusal(offer.id, refusal))
            return
        assert worker is not None
        waiter = await worker.admit(offer, deadline, self._clock)
        if waiter.code is not None:
            channel.send(wire.Refusal(offer.id, waiter.code, worker.load()))
            return
        try:
            request = offer.request
            if isinstance(request, msgspec.UnsetType):
                request = await self._hold(channel, offer, worker)
            if request is not None:
                message = await self._run(offer, worker, request, deadline)
                channel.send(message)
        finally:
            worker.release(waiter, self._clock)

    def _refusal(
        self, offer: wire.Offer, worker: workers.LocalWorker | None
    ) -> codes.Code | None:
        if self.leaving:
            return codes.Code.NODE_LEAVING
        if worker is None or worker.service != offer.service:
            return codes.Code.NOT_OWNER
        if worker.leaving:
            return codes.Code.TARGET_LEAVING
        return None

    async def _hold(
        self,
        channel: link.Channel,
        offer: wire.Offer,
        worker: workers.LocalWorker,
    ) -> wire.Request | None:
        ticket = secrets.token_bytes(_TICKET_BYTES)
        hold = _Hold(offer, worker)
        self._holds[ticket] = hold
        lapses = self._clock.monotonic() + LAPSE_MS / 1000
        try:
            if not channel.send(wire.Held(offer.id, ticket, LAPSE_MS)):
                return None
            async with asyncio.timeout(LAPSE_MS / 1000):
                go = await hold.go
        except (TimeoutError, asyncio.CancelledError):
            self._lapse(ticket)
            return None
        finally:
            self._holds.pop(ticket, None)
        if self._clock.monotonic() > lapses:
            self._lapse(ticket)
            channel.send(wire.Refusal(offer.id, codes.Code.TICKET_LAPSED))
            return None
        return go.request

    def _lapse(self, ticket: bytes) -> None:
        self._metrics.event("ticket_lapsed")
        self._lapsed[ticket] = None
        if len(self._lapsed) > _LAPSED_TICKETS:
            self._lapsed.popitem(last=False)

    async def _run(
        self,
        offer: wire.Offer,
        worker: workers.LocalWorker,
        request: wire.Request,
        deadline: float,
    ) -> wire.Reply | wire.Refusal:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return wire.Refusal(offer.id, codes.Code.DEADLINE_EXPIRED)
        timed = deadlines.with_remaining(request, remaining)
        reply = await worker.client.run(timed, offer.idempotent, remaining)
        if reply.code != codes.Code.ANSWERED:
            return wire.Refusal(offer.id, reply.code, worker.load())
        return _to_message(offer.id, reply, worker.load())


def _to_message(
    exchange_id: bytes, reply: target.TargetReply, load: wire.Load
) -> wire.Reply:
    headers = [wire.Header(k, v) for k, v in reply.headers.get_all()]
    return wire.Reply(
        id=exchange_id,
        status=reply.status,
        headers=headers,
        body=reply.body,
        length=len(reply.body),
        digest=digest(reply.body),
        load=load,
    )
