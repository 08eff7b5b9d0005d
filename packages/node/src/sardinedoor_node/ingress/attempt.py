"""One exchange with one owner, from the ingress's side."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node.util import digests
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.util import clock
    from sardinedoor_schema import base

HOLD_TIMEOUT_S = 0.4
LINK_WAIT_S = 0.1


@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way.

    Attributes:
        request: What the target is to get.
        service: Which service is to run it.
        idempotent: Whether it may run more than once.
        deadline: When its caller stops waiting, monotonic, in s.
        organisation: On whose behalf it is made.
        key: Idempotency key, empty for none.
        priority: Higher goes first.
        team: Owner of the route.
        revision: Revision of the settings that the route comes from.
        objective_s: Time within which an answer has its full value, in s.
        max_runs: Workers on which it may run at most.
        committed: Whether work that isn't idempotent may have begun.
        repeats: Whether a worker runs it already or has run it.
        nested: Whether the node's own worker may make it within a request.
    """

    request: wire.Request
    service: str
    idempotent: bool
    deadline: float
    organisation: str = ""
    key: str = ""
    priority: int = 0
    team: str = ""
    revision: int = 0
    objective_s: float = 0.0
    max_runs: int = 1
    committed: bool = False
    repeats: bool = False
    nested: bool = False

    @property
    def keyed(self) -> bool:
        """Whether only the home of its key may run it."""
        return bool(self.key) and not self.idempotent


@dataclasses.dataclass(slots=True)
class Forwarded:
    """What a caller gets."""

    code: codes.Code
    worker: str = ""
    reply: wire.Reply | None = None
    load: wire.Load | msgspec.UnsetType = msgspec.UNSET


class Attempt:
    """Offers a job to one owner and waits for the outcome."""

    def __init__(
        self,
        job: Job,
        offer: wire.Offer,
        channel: link.Channel,
        inbox: asyncio.Queue[base.Message],
        time: clock.Clock,
        hold_timeout_s: float = HOLD_TIMEOUT_S,
    ):
        """Sends nothing yet.

        Args:
            job: The request.
            offer: What to ask the owner.
            channel: The way to the owner.
            inbox: Where the owner's messages arrive.
            time: The clock.
            hold_timeout_s: Longest wait for a hold, in s.
        """
        self._hold_timeout_s = hold_timeout_s
        self._job = job
        self._offer = offer
        self._channel = channel
        self._inbox = inbox
        self._clock = time
        self._ticket = b""

    async def run(self, hold: bool) -> Forwarded:
        """Runs the exchange.

        Args:
            hold: Whether to ask for a hold first; otherwise the request is
                attached to the offer.

        Returns:
            The outcome.
        """
        if hold:
            return await self._hold()
        if not await self._send_offer():
            return self._refused(codes.Code.LINK_DOWN)
        try:
            return await self._reply()
        except asyncio.CancelledError:
            self._channel.send(wire.Cancel(self._offer.id))
            raise

    async def _send_offer(self) -> bool:
        """Sends the offer, after a wait if the link is only being opened."""
        if self._channel.send(self._offer):
            return True
        wait_s = min(LINK_WAIT_S, self._remaining())
        if not await self._channel.ready(wait_s):
            return False
        self._offer.remaining_ms = max(0, int(self._remaining() * 1000))
        return self._channel.send(self._offer)

    def _remaining(self) -> float:
        return self._job.deadline - self._clock.monotonic()

    def _refused(self, code: codes.Code) -> Forwarded:
        return Forwarded(code, self._offer.worker)

    async def _hold(self) -> Forwarded:
        if not await self._send_offer():
            return self._refused(codes.Code.LINK_DOWN)
        sent = self._clock.monotonic()
        decided = False
        try:
            message = await self._next(self._hold_timeout())
            if not isinstance(message, wire.Held):
                decided = message is not None
                return self._unheld(message)
            code = self._too_late(sent, message)
            if code is not None:
                return self._refused(code)
            decided = self._go(message)
        finally:
            # No go follows, so the slot is of no use.
            if not decided:
                self._channel.send(wire.Cancel(self._offer.id))
        if not decided:
            return self._refused(codes.Code.LINK_DOWN)
        return await self._reply()

    def _hold_timeout(self) -> float:
        # The home of a key may first have to wait for an earlier request.
        if self._job.keyed:
            return self._remaining()
        return min(self._hold_timeout_s, self._remaining())

    def _unheld(self, message: base.Message | None) -> Forwarded:
        if message is None:
            return self._refused(codes.Code.HOLD_TIMEOUT)
        return self._result(message)

    def _too_late(self, sent: float, held: wire.Held) -> codes.Code | None:
        if self._remaining() <= 0:
            return codes.Code.DEADLINE_EXPIRED
        if self._clock.monotonic() - sent > self._lapse_s(held):
            return codes.Code.HOLD_TIMEOUT
        return None

    def _lapse_s(self, held: wire.Held) -> float:
        # A keyed offer may be held long after it was sent; the owner checks.
        if self._job.keyed:
            return self._remaining()
        return held.lapse_ms / 1000

    def _go(self, held: wire.Held) -> bool:
        remaining_ms = int(self._remaining() * 1000)
        self._ticket = held.ticket
        self._job.committed = True
        return self._channel.send(
            wire.Go(
                self._offer.id, held.ticket, remaining_ms, self._job.request
            )
        )

    async def _reply(self) -> Forwarded:
        while True:
            message = await self._next(self._remaining())
            if message is None:
                return self._refused(codes.Code.REPLY_TIMEOUT)
            if self._is_final(message):
                return self._result(message)

    def _is_final(self, message: base.Message) -> bool:
        if isinstance(message, wire.Reply):
            return True
        if not isinstance(message, wire.Refusal):
            return False
        # A refusal of the offer, by a later incarnation, says nothing of go.
        return message.ticket == self._ticket

    async def _next(self, timeout_s: float) -> base.Message | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._inbox.get()
        except TimeoutError:
            pass
        # After a pause of the process, both may have come at once.
        return None if self._inbox.empty() else self._inbox.get_nowait()

    def _result(self, message: wire.Reply | wire.Refusal) -> Forwarded:
        if isinstance(message, wire.Refusal):
            code = _known_code(message.code)
            return Forwarded(code, self._offer.worker, load=message.load)
        is_whole = len(message.body) == message.length
        if not is_whole or digests.of_reply(message) != message.digest:
            return self._refused(codes.Code.REPLY_TRUNCATED)
        code = codes.Code.ANSWERED
        if message.before:
            code = codes.Code.ANSWERED_BEFORE
        return Forwarded(code, self._offer.worker, message, message.load)


def _known_code(number: int) -> codes.Code:
    try:
        return codes.Code(number)
    except ValueError:
        pass
    # A newer version's code; its outcome still counts.
    if codes.outcome(number) is codes.Outcome.NOT_RUN:
        return codes.Code.INTERNAL_ERROR_BEFORE_RUN
    return codes.Code.INTERNAL_ERROR_AFTER_RUN
