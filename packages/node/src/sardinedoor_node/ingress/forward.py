"""Takes one request to an owner and brings back the outcome."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.limits import retries
from sardinedoor_node.owner import exchange
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import exchanges
    from sardinedoor_node.ingress import routes
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

HOLD_TIMEOUT_S = 0.4
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class Forwarded:
    """What a caller gets."""

    code: codes.Code
    worker: str = ""
    reply: wire.Reply | None = None


@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way."""

    request: wire.Request
    route: routes.Route
    idempotent: bool
    deadline: float
    organisation: str = ""
    key: str = ""


class Forwarder:
    """Runs exchanges with owners."""

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        picker: picking.Picker,
        open_exchanges: exchanges.ExchangeTable,
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        self._members = members
        self._transport = transport
        self._picker = picker
        self._exchanges = open_exchanges
        self._metrics = counters
        self._clock = time
        self._budgets = retries.RetryBudgets()

    async def forward(self, job: Job) -> Forwarded:
        """Tries targets until one outcome is final.

        Args:
            job: The request.

        Returns:
            The outcome of the last attempt.
        """
        budget = self._budgets.of(job.route.settings.service)
        tried: set[str] = set()
        last = Forwarded(codes.Code.NO_TARGET)
        for _ in range(_MAX_ATTEMPTS):
            if self._remaining(job) <= 0:
                return Forwarded(codes.Code.DEADLINE_EXPIRED)
            service = job.route.settings.service
            target = self._picker.pick(self._members.targets(service), tried)
            if target is None:
                return last
            tried.add(target.worker)
            last = await self._attempt(job, target)
            if not self._may_retry(job, last):
                return self._ended(budget, last)
            if not budget.spend():
                self._metrics.event("retry_budget_spent")
                return last
            self._metrics.retry(last.code.name.lower())
        return last

    def _ended(self, budget: retries.RetryBudget, last: Forwarded) -> Forwarded:
        if codes.outcome(last.code) is codes.Outcome.ANSWERED:
            budget.answered()
        return last

    def _may_retry(self, job: Job, last: Forwarded) -> bool:
        outcome = codes.outcome(last.code)
        if last.code == codes.Code.ORGANISATION_OVER_SHARE:
            return False
        if outcome is codes.Outcome.NOT_RUN:
            return True
        return outcome is codes.Outcome.UNKNOWN and job.idempotent

    def _remaining(self, job: Job) -> float:
        return job.deadline - self._clock.monotonic()

    async def _attempt(self, job: Job, target: table.Target) -> Forwarded:
        entry = self._members.entries[target.node]
        channel = self._transport.connect(entry.name, entry.link)
        exchange_id, inbox = self._exchanges.open()
        self._picker.started(target.worker)
        try:
            if job.idempotent:
                message = await self._run(
                    job, target, channel, exchange_id, inbox
                )
            else:
                message = await self._hold(
                    job, target, channel, exchange_id, inbox
                )
        finally:
            self._exchanges.close(exchange_id)
            self._picker.finished(target.worker)
        return _result(message, target)

    def _offer(
        self, job: Job, target: table.Target, exchange_id: bytes
    ) -> wire.Offer:
        return wire.Offer(
            id=exchange_id,
            service=target.service,
            worker=target.worker,
            remaining_ms=max(0, int(self._remaining(job) * 1000)),
            idempotent=job.idempotent,
            organisation=job.organisation,
            priority=job.route.settings.priority,
            key=job.key,
            revision=job.route.revision,
        )

    async def _run(
        self,
        job: Job,
        target: table.Target,
        channel: link.Channel,
        exchange_id: bytes,
        inbox: asyncio.Queue,
    ) -> wire.Reply | wire.Refusal:
        offer = self._offer(job, target, exchange_id)
        offer.request = job.request
        if not channel.send(offer):
            return wire.Refusal(exchange_id, codes.Code.LINK_DOWN)
        return await self._reply(job, exchange_id, inbox)

    async def _hold(
        self,
        job: Job,
        target: table.Target,
        channel: link.Channel,
        exchange_id: bytes,
        inbox: asyncio.Queue,
    ) -> wire.Reply | wire.Refusal:
        if not channel.send(self._offer(job, target, exchange_id)):
            return wire.Refusal(exchange_id, codes.Code.LINK_DOWN)
        sent = self._clock.monotonic()
        message = await self._next(
            inbox, min(HOLD_TIMEOUT_S, self._remaining(job))
        )
        if isinstance(message, wire.Refusal):
            return message
        if not isinstance(message, wire.Held):
            channel.send(wire.Cancel(exchange_id))
            return wire.Refusal(exchange_id, codes.Code.HOLD_TIMEOUT)
        late = self._clock.monotonic() - sent > message.lapse_ms / 1000
        remaining_ms = int(self._remaining(job) * 1000)
        if late or remaining_ms <= 0:
            channel.send(wire.Cancel(exchange_id))
            code = codes.Code.HOLD_TIMEOUT
            if remaining_ms <= 0:
                code = codes.Code.DEADLINE_EXPIRED
            return wire.Refusal(exchange_id, code)
        go = wire.Go(exchange_id, message.ticket, remaining_ms, job.request)
        if not channel.send(go):
            return wire.Refusal(exchange_id, codes.Code.LINK_DOWN)
        return await self._reply(job, exchange_id, inbox)

    async def _reply(
        self, job: Job, exchange_id: bytes, inbox: asyncio.Queue
    ) -> wire.Reply | wire.Refusal:
        while True:
            message = await self._next(inbox, self._remaining(job))
            if message is None:
                return wire.Refusal(exchange_id, codes.Code.REPLY_TIMEOUT)
            if isinstance(message, wire.Reply | wire.Refusal):
                return message

    async def _next(self, inbox: asyncio.Queue, timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                return await inbox.get()
        except TimeoutError:
            return None


def _result(
    message: wire.Reply | wire.Refusal, target: table.Target
) -> Forwarded:
    if isinstance(message, wire.Refusal):
        try:
            code = codes.Code(message.code)
        except ValueError:
            code = codes.Code.INTERNAL_ERROR_AFTER_RUN
        return Forwarded(code, target.worker)
    if (
        len(message.body) != message.length
        or exchange.digest(message.body) != message.digest
    ):
        return Forwarded(codes.Code.REPLY_TRUNCATED, target.worker)
    return Forwarded(codes.Code.ANSWERED, target.worker, message)
