"""The owner's side of an exchange: reserve, hold, run once."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec
import result

from sardinedoor_node.owner import dialect
from sardinedoor_node.owner import holds
from sardinedoor_node.owner import keyed
from sardinedoor_node.owner import ledger
from sardinedoor_node.owner import seen
from sardinedoor_node.util import digests
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node import owner
    from sardinedoor_node.owner import homes
    from sardinedoor_node.owner import suspects
    from sardinedoor_node.owner import target
    from sardinedoor_node.owner import workers
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

_Outcome = wire.Reply | wire.Refusal


class Exchange:
    """One offer and how far it got."""

    def __init__(
        self, channel: link.Channel, offer: wire.Offer, deadline: float
    ):
        """Starts with nothing run.

        Args:
            channel: Where the outcome goes.
            offer: The offer.
            deadline: When it expires, by the owner's monotonic clock.
        """
        self.channel = channel
        self.offer = offer
        self.deadline = deadline
        self.ticket = b""
        self.started = False

    def refuse(
        self,
        code: codes.Code,
        load: wire.Load | msgspec.UnsetType = msgspec.UNSET,
    ) -> wire.Refusal:
        """Returns a refusal that names the ticket of the go, if one came."""
        return wire.Refusal(self.offer.id, code, self.ticket, load)


class Owner:
    """Accepts offers for the node's own workers."""

    def __init__(
        self,
        incarnation: bytes,
        local: owner.WorkerFinder,
        key_homes: homes.Homes | None,
        crash_suspects: suspects.Suspects,
        counters: metrics.Metrics,
        time: clock.Clock,
        target_dialect: dialect.TargetDialect | None = None,
    ):
        """Starts with nothing running.

        Args:
            incarnation: Random bytes that no other process has.
            local: The node's own workers by name.
            key_homes: Which worker is home to a key; None where callers
                send no keys.
            crash_suspects: Requests that may have crashed targets.
            counters: Where events are counted.
            time: The clock.
            target_dialect: How requests are put to targets; by default
                plain.
        """
        self._dialect = target_dialect or dialect.PlainDialect()
        self._running: dict[bytes, asyncio.Task] = {}
        self._incarnation = incarnation
        self._workers = local
        self._suspects = crash_suspects
        self._metrics = counters
        self._clock = time
        self._tasks = tasks.TaskGroup()
        self._seen = seen.SeenOffers()
        self._holds = holds.HoldTable(time)
        self._keys: keyed.KeyedRequests | None = None
        if key_homes is not None:
            self._keys = keyed.KeyedRequests(
                key_homes, ledger.Ledger(time), time
            )
        self._runs = 0
        self._repeated_runs = 0
        self.leaving = False

    @property
    def runs(self) -> int:
        """Requests that are at the node's workers."""
        return self._runs

    @property
    def repeated_runs(self) -> int:
        """Those of them that another worker runs or has run too."""
        return self._repeated_runs

    @property
    def busy(self) -> int:
        """Number of exchanges that are not finished."""
        return len(self._tasks)

    def on_offer(self, channel: link.Channel, offer: wire.Offer) -> None:
        """Starts the exchange for an offer."""
        if not self._seen.add(offer.id):
            self._metrics.dropped("offer_seen")
            return
        if offer.owner and offer.owner != self._incarnation:
            # The incarnation it was meant for may have run it.
            channel.send(wire.Refusal(offer.id, codes.Code.LINK_LOST))
            return
        deadline = self._clock.monotonic() + offer.remaining_ms / 1000
        exchange = Exchange(channel, offer, deadline)
        task = self._tasks.spawn(self._serve(exchange), "exchange")
        if offer.idempotent:
            self._running[offer.id] = task
            task.add_done_callback(
                lambda task: self._running.pop(offer.id, None)
            )

    def on_go(self, channel: link.Channel, go: wire.Go) -> None:
        """Hands a go to the exchange that holds its ticket."""
        if self._holds.go(go):
            return
        if self._holds.has_lapsed(go.ticket):
            channel.send(
                wire.Refusal(go.id, codes.Code.TICKET_LAPSED, go.ticket)
            )
            return
        # A ticket that was used may have run, so nothing can be said of it.
        self._metrics.dropped("go_without_ticket")

    def on_cancel(self, channel: link.Channel, cancel: wire.Cancel) -> None:
        """Ends an offer that isn't followed by go, or an idempotent run."""
        del channel
        self._seen.add(cancel.id)
        self._holds.cancel(cancel.id)
        running = self._running.get(cancel.id)
        if running is not None:
            running.cancel()

    async def _serve(self, exchange: Exchange) -> None:
        try:
            message = await self._outcome(exchange)
        except Exception:
            logger.exception("exchange failed")
            code = codes.Code.INTERNAL_ERROR_BEFORE_RUN
            if exchange.started:
                code = codes.Code.INTERNAL_ERROR_AFTER_RUN
            message = exchange.refuse(code)
        exchange.channel.send(message)

    async def _outcome(self, exchange: Exchange) -> _Outcome:
        offer = exchange.offer
        worker = self._workers.get(offer.worker)
        if self.leaving:
            return exchange.refuse(codes.Code.NODE_LEAVING)
        if worker is None or worker.service != offer.service:
            return exchange.refuse(codes.Code.NOT_OWNER)
        if worker.is_leaving(self._clock.monotonic()):
            return exchange.refuse(codes.Code.TARGET_LEAVING)
        if self._suspects.is_refused(offer.fingerprint):
            return exchange.refuse(codes.Code.QUARANTINED)
        if offer.key and not offer.idempotent and self._keys is not None:
            return await self._keys.serve(
                exchange, worker, lambda: self._reserve(exchange, worker)
            )
        return await self._reserve(exchange, worker)

    async def _reserve(
        self, exchange: Exchange, worker: workers.LocalWorker
    ) -> _Outcome:
        if worker.drained:
            return exchange.refuse(codes.Code.WORKER_DRAINED, worker.load())
        if not worker.admits(exchange.offer):
            return exchange.refuse(codes.Code.TARGET_EJECTED, worker.load())
        waiter = await worker.admit(
            exchange.offer, exchange.deadline, self._clock
        )
        if waiter.code is not None:
            return exchange.refuse(waiter.code, worker.load())
        try:
            request = exchange.offer.request
            if isinstance(request, msgspec.UnsetType):
                held = await self._hold(exchange)
                if held.is_err():
                    return exchange.refuse(held.unwrap_err())
                request = held.unwrap()
            return await self._run(exchange, worker, request)
        finally:
            worker.release(waiter, self._clock)

    async def _hold(
        self, exchange: Exchange
    ) -> result.Result[wire.Request, codes.Code]:
        hold = self._holds.open(exchange.offer.id)
        used = False
        try:
            held = wire.Held(exchange.offer.id, hold.ticket, holds.LAPSE_MS)
            if not exchange.channel.send(held):
                return result.Err(codes.Code.LINK_DOWN)
            go = await hold.wait()
            if go is not None:
                exchange.ticket = go.ticket
            if go is None or self._clock.monotonic() > hold.lapses:
                self._metrics.event("ticket_lapsed")
                return result.Err(codes.Code.TICKET_LAPSED)
            used = True
        finally:
            self._holds.close(hold, used)
        left = self._clock.monotonic() + go.remaining_ms / 1000
        exchange.deadline = min(exchange.deadline, left)
        return result.Ok(go.request)

    async def _run(
        self,
        exchange: Exchange,
        worker: workers.LocalWorker,
        request: wire.Request,
    ) -> _Outcome:
        offer = exchange.offer
        fingerprint = digests.of_request(
            offer.service, offer.organisation, request
        )
        if offer.key and fingerprint != offer.fingerprint:
            return exchange.refuse(codes.Code.KEY_REUSED)
        if self._suspects.is_refused(fingerprint):
            return exchange.refuse(codes.Code.QUARANTINED)
        remaining_s = exchange.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return exchange.refuse(codes.Code.DEADLINE_EXPIRED)
        self._suspects.begin(offer.service, fingerprint, remaining_s)
        exchange.started = True
        timed = self._dialect.prepare(request, offer.worker, remaining_s)
        self._runs += 1
        self._repeated_runs += offer.repeats
        try:
            reply = await worker.client.run(
                timed, offer.idempotent, remaining_s
            )
        finally:
            self._runs -= 1
            self._repeated_runs -= offer.repeats
        worker.heard(reply, self._clock.monotonic())
        await self._note_end(offer.service, worker, fingerprint, reply.code)
        if reply.code != codes.Code.ANSWERED:
            return exchange.refuse(reply.code, worker.load())
        return _to_message(offer.id, reply, worker.load())

    async def _note_end(
        self,
        service: str,
        worker: workers.LocalWorker,
        fingerprint: bytes,
        code: codes.Code,
    ) -> None:
        if code == codes.Code.ANSWERED:
            self._suspects.answered(service, fingerprint)
            return
        lost = code in (
            codes.Code.TARGET_CONNECTION_LOST,
            codes.Code.REPLY_TRUNCATED,
        )
        if lost and not await worker.client.is_listening():
            self._suspects.crashed(service, fingerprint)
        else:
            self._suspects.ended(service, fingerprint)


def _to_message(
    exchange_id: bytes, reply: target.TargetReply, load: wire.Load
) -> wire.Reply:
    headers = [wire.Header(k, v) for k, v in reply.headers.get_all()]
    message = wire.Reply(
        id=exchange_id,
        status=reply.status,
        headers=headers,
        body=reply.body,
        length=len(reply.body),
        digest=b"",
        load=load,
    )
    message.digest = digests.of_reply(message)
    return message
