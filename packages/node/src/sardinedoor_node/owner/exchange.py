"""Owner side of an exchange: reserve a slot, hold it, run once."""

from __future__ import annotations

import logging
import math
import random
from typing import TYPE_CHECKING

import msgspec
import result

from sardinedoor_node.admission import calltree
from sardinedoor_node.owner import dialect
from sardinedoor_node.owner import finished
from sardinedoor_node.owner import holds
from sardinedoor_node.owner import keyed
from sardinedoor_node.owner import ledger
from sardinedoor_node.owner import offerids
from sardinedoor_node.owner import openexchange
from sardinedoor_node.owner import replywindow
from sardinedoor_node.owner import runaccount
from sardinedoor_node.util import digests
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node import owner
    from sardinedoor_node.owner import placement
    from sardinedoor_node.owner import quarantine
    from sardinedoor_node.owner import target
    from sardinedoor_node.owner import workers
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

_ReplyOrRefusal = wire.Reply | wire.Refusal


class Owner:
    """Runs the exchanges for offers to the node's own workers.

    An ingress offers a request to one worker. The owner reserves a slot and
    holds it: it answers with a ticket and waits for the `Go` message, which
    names the ticket and carries the request. A hold without a `Go` lapses. An
    offer that carries the request itself runs without a hold.

    Attributes:
        account: Counts the runs of the node's own workers.
        leaving: Whether the node is being stopped.
    """

    def __init__(
        self,
        incarnation: bytes,
        local: owner.WorkerFinder,
        key_placement: placement.KeyPlacement | None,
        crash_quarantine: quarantine.CrashQuarantine,
        counters: metrics.Metrics,
        time: clock.Clock,
        target_dialect: dialect.TargetDialect | None = None,
        calls: calltree.CallTree | None = None,
    ):
        """Starts without exchanges.

        Args:
            incarnation: Random bytes that identify this process.
            local: The node's own workers by name.
            key_placement: Maps idempotency keys to their home workers; None
                where callers send no keys.
            crash_quarantine: Blocks requests that crash their targets.
            counters: Metrics of the node.
            time: The clock.
            target_dialect: Translates requests and responses for targets;
                plain HTTP by default.
            calls: Learns which calls the runs of the workers make.
        """
        self._calls = calls or calltree.CallTree()
        self._rng = random.Random()
        self._dialect = target_dialect or dialect.PlainDialect()
        self._exchanges: dict[bytes, openexchange.Exchange] = {}
        self._reply_windows = replywindow.ReplyWindows()
        self._finished = finished.FinishedExchanges(time)
        self._incarnation = incarnation
        self._workers = local
        self._quarantine = crash_quarantine
        self._metrics = counters
        self._clock = time
        self._tasks = tasks.TaskGroup()
        self._offer_ids = offerids.OfferDeduplicator()
        self._holds = holds.HoldTable(time)
        self._keyed_requests: keyed.KeyedRequests | None = None
        if key_placement is not None:
            self._keyed_requests = keyed.KeyedRequests(
                key_placement, ledger.Ledger(time), time
            )
        self.account = runaccount.RunAccount(time)
        self.leaving = False

    @property
    def open_exchanges(self) -> int:
        """Number of unfinished exchanges."""
        return len(self._tasks)

    def leave(self) -> None:
        """Stops accepting offers, also those that wait for a slot.

        What holds a slot is served.
        """
        self.leaving = True
        waited_at = {exchange.worker for exchange in self._exchanges.values()}
        for worker in waited_at - {None}:
            worker.refuse_waiting(codes.Code.NODE_LEAVING)

    def on_offer(self, channel: link.Channel, offer: wire.Offer) -> None:
        """Starts the exchange for an offer unless its id is a duplicate."""
        if not self._offer_ids.add(offer.id):
            self._metrics.dropped("offer_seen")
            return
        if offer.owner and offer.owner != self._incarnation:
            # The earlier incarnation that it is addressed to may have run
            # it, so the outcome is unknown.
            channel.send(wire.Refusal(offer.id, codes.Code.LINK_LOST))
            return
        deadline = self._clock.monotonic() + offer.remaining_ms / 1000
        exchange = openexchange.Exchange(channel, offer, deadline)
        exchange.task = self._tasks.spawn(self._handle(exchange), "exchange")
        self._exchanges[offer.id] = exchange
        exchange.task.add_done_callback(
            lambda task: self._exchanges.pop(offer.id, None)
        )

    def on_go(self, channel: link.Channel, go: wire.Go) -> None:
        """Passes a `Go` to the exchange that holds its ticket."""
        if self._holds.deliver_go(go):
            return
        if self._holds.has_lapsed(go.ticket):
            channel.send(
                wire.Refusal(go.id, codes.Code.TICKET_LAPSED, go.ticket)
            )
            return
        # The request of a used ticket may have run, so neither a refusal nor
        # a second run would be correct.
        self._metrics.dropped("go_without_ticket")

    def on_cancel(self, channel: link.Channel, cancel: wire.Cancel) -> None:
        """Withdraws an offer that waits or is held, or an idempotent run.

        The id is recorded, so an offer that arrives after its cancel is
        dropped as a duplicate.
        """
        del channel
        self._offer_ids.add(cancel.id)
        exchange = self._exchanges.get(cancel.id)
        if exchange is None:
            return
        if exchange.can_be_cancelled:
            exchange.task.cancel()
        else:
            self._holds.cancel(cancel.id)

    def on_reply_received(
        self, channel: link.Channel, message: wire.ReplyReceived
    ) -> None:
        """Lets the next long reply go to an ingress."""
        self._reply_windows.on_acknowledged(channel, message)

    def on_resume(self, channel: link.Channel, resume: wire.Resume) -> None:
        """Answers an ingress whose link was lost during an exchange.

        What the link lost is sent again. A request whose offer or `Go` didn't
        arrive is not run any more, and refused as not run.
        """
        exchange = self._exchanges.get(resume.id)
        if exchange is not None:
            exchange.channel = channel
            if resume.ticket and not exchange.ticket:
                # Unless the Go has just arrived, this ends the hold.
                exchange.ticket = resume.ticket
                self._holds.cancel(resume.id)
            return
        message = self._finished.get(resume.id)
        if message is None:
            code = codes.Code.LINK_LOST
            was_seen = not self._offer_ids.add(resume.id)
            if resume.owner == self._incarnation and not was_seen:
                code = codes.Code.LINK_DOWN
            message = wire.Refusal(resume.id, code, resume.ticket)
        self._metrics.event("exchange_resumed")
        channel.send(message)

    async def _handle(self, exchange: openexchange.Exchange) -> None:
        try:
            message = await self._process(exchange)
        except Exception:
            logger.exception("exchange failed")
            code = codes.Code.INTERNAL_ERROR_BEFORE_RUN
            if exchange.run_started:
                code = codes.Code.INTERNAL_ERROR_AFTER_RUN
            message = exchange.refuse(code)
        self._finished.add(exchange.offer.id, message)
        try:
            if exchange.offer.acknowledges and replywindow.is_long(message):
                await self._reply_windows.send(exchange.channel, message)
            else:
                exchange.channel.send(message)
        finally:
            if exchange.reply_memory is not None:
                exchange.reply_memory.end()

    async def _process(
        self, exchange: openexchange.Exchange
    ) -> _ReplyOrRefusal:
        offer = exchange.offer
        worker = self._workers.get(offer.worker)
        if self.leaving:
            return exchange.refuse(codes.Code.NODE_LEAVING)
        if worker is None or worker.service != offer.service:
            return exchange.refuse(codes.Code.NOT_OWNER)
        exchange.worker = worker
        self._adopt_rate_limit(offer, worker)
        if worker.announced.is_leaving(self._clock.monotonic()):
            return exchange.refuse(codes.Code.TARGET_LEAVING)
        if self._quarantine.is_refused(offer.fingerprint):
            return exchange.refuse(codes.Code.QUARANTINED)
        if (
            offer.key
            and not offer.idempotent
            and self._keyed_requests is not None
        ):
            return await self._keyed_requests.serve(
                exchange,
                worker,
                lambda: self._reserve_and_run(exchange, worker),
            )
        return await self._reserve_and_run(exchange, worker)

    async def _reserve_and_run(
        self, exchange: openexchange.Exchange, worker: workers.LocalWorker
    ) -> _ReplyOrRefusal:
        if self.leaving:
            return exchange.refuse(codes.Code.NODE_LEAVING)
        if worker.drained:
            return self._refuse(exchange, worker, codes.Code.WORKER_DRAINED)
        if not worker.admits(exchange.offer):
            return self._refuse(exchange, worker, codes.Code.TARGET_EJECTED)
        if self._lacks_room_below(exchange.offer):
            return self._refuse_for_calls(exchange, worker)
        waiter = await worker.acquire_slot(
            exchange.offer, exchange.deadline, self._clock
        )
        if waiter.code is not None:
            return self._refuse(exchange, worker, waiter.code)
        try:
            request = exchange.offer.request
            if isinstance(request, msgspec.UnsetType):
                hold_result = await self._hold_slot(exchange)
                if hold_result.is_err():
                    return exchange.refuse(hold_result.unwrap_err())
                request = hold_result.unwrap()
            code = self._departure_code(exchange.offer.worker, worker)
            if code is not None:
                return self._refuse(exchange, worker, code)
            return await self._run_request(exchange, worker, request)
        finally:
            worker.release_slot(waiter, self._clock, exchange.run_started)

    def _departure_code(
        self, name: str, worker: workers.LocalWorker
    ) -> codes.Code | None:
        """Returns why a worker gets no new request; None if it isn't leaving.

        It may have begun to leave while the request waited for its slot or for
        the `Go` message.

        Args:
            name: Name of the worker in the offer.
            worker: The worker as it was found when the offer came.
        """
        if self._workers.get(name) is not worker or worker.drained:
            return codes.Code.WORKER_DRAINED
        if worker.announced.is_leaving(self._clock.monotonic()):
            return codes.Code.TARGET_LEAVING
        return None

    def _lacks_room_below(self, offer: wire.Offer) -> bool:
        """Decides whether the calls of a request would probably be refused."""
        if not offer.route:
            return False
        share = self._calls.refusal_share(offer.route, self._clock.monotonic())
        return share > 0 and self._rng.random() < share

    def _refuse_for_calls(
        self, exchange: openexchange.Exchange, worker: workers.LocalWorker
    ) -> wire.Refusal:
        """Returns a refusal with the wait at the service that is called."""
        now = self._clock.monotonic()
        load = worker.load(now)
        wait_s = self._calls.wait_s(exchange.offer.route, now)
        load.wait_ms = max(load.wait_ms, math.ceil(1000 * wait_s))
        return exchange.refuse(codes.Code.CALLED_SERVICE_FULL, load)

    def _refuse(
        self,
        exchange: openexchange.Exchange,
        worker: workers.LocalWorker,
        code: codes.Code,
    ) -> wire.Refusal:
        """Returns a refusal with the load of the worker."""
        return exchange.refuse(code, worker.load(self._clock.monotonic()))

    def _adopt_rate_limit(
        self, offer: wire.Offer, worker: workers.LocalWorker
    ) -> None:
        if not isinstance(offer.rate_limit, msgspec.UnsetType):
            worker.adopt_rate_limit(
                offer.rate_limit,
                offer.rate_limit_age_ms / 1000,
                self._clock.monotonic(),
            )

    async def _hold_slot(
        self, exchange: openexchange.Exchange
    ) -> result.Result[wire.Request, codes.Code]:
        hold = self._holds.open(exchange.offer.id)
        used = False
        try:
            held = wire.Held(
                exchange.offer.id,
                hold.ticket,
                holds.LAPSE_MS,
                self._incarnation,
            )
            if not exchange.channel.send(held):
                return result.Err(codes.Code.LINK_DOWN)
            go = await hold.wait()
            if go is not None:
                exchange.ticket = go.ticket
            if go is None or self._clock.monotonic() > hold.lapses_at:
                self._metrics.event("ticket_lapsed")
                return result.Err(codes.Code.TICKET_LAPSED)
            used = True
        finally:
            self._holds.close(hold, used)
        go_deadline = self._clock.monotonic() + go.remaining_ms / 1000
        exchange.deadline = min(exchange.deadline, go_deadline)
        return result.Ok(go.request)

    async def _run_request(
        self,
        exchange: openexchange.Exchange,
        worker: workers.LocalWorker,
        request: wire.Request,
    ) -> _ReplyOrRefusal:
        offer = exchange.offer
        fingerprint = digests.of_request(
            offer.service, offer.organisation, request
        )
        if offer.key and fingerprint != offer.fingerprint:
            return exchange.refuse(codes.Code.KEY_REUSED)
        if self._quarantine.is_refused(fingerprint):
            return exchange.refuse(codes.Code.QUARANTINED)
        remaining_s = exchange.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return exchange.refuse(codes.Code.DEADLINE_EXPIRED)
        self._quarantine.on_run_started(fingerprint, remaining_s)
        exchange.run_started = True
        translated = self._dialect.translate_request(
            request, offer.worker, remaining_s
        )
        sent_at = self._clock.monotonic()
        with self.account.run(offer.repeats) as run:
            self._calls.run_started(offer.id, offer.route)
            try:
                reply = await worker.client.run(
                    translated, offer.idempotent, remaining_s
                )
                run.answered = bool(reply.status)
            finally:
                self._calls.run_ended(offer.id)
        exchange.reply_memory = reply.memory
        worker.observe_reply(reply, sent_at, self._clock.monotonic())
        await self._record_run_end(
            offer.service, worker, fingerprint, reply.code
        )
        if reply.code != codes.Code.ANSWERED:
            return self._refuse(exchange, worker, reply.code)
        return _to_message(
            offer.id, reply, worker.load(self._clock.monotonic())
        )

    async def _record_run_end(
        self,
        service: str,
        worker: workers.LocalWorker,
        fingerprint: bytes,
        code: codes.Code,
    ) -> None:
        if code == codes.Code.ANSWERED:
            self._quarantine.on_run_answered(service, fingerprint)
            return
        connection_lost = code in (
            codes.Code.TARGET_CONNECTION_LOST,
            codes.Code.REPLY_TRUNCATED,
        )
        if connection_lost and not await worker.client.is_listening():
            self._quarantine.on_crash(service, fingerprint)
        else:
            self._quarantine.on_run_ended(fingerprint)


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
