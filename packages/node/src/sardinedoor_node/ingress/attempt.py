"""The ingress side of one exchange with one owner."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import link
from sardinedoor_node.util import digests
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.util import clock
    from sardinedoor_schema import base

HOLD_TIMEOUT_S = 0.4
LINK_WAIT_S = 0.1
# Time for a lost link to be restored, after which the outcome of an idempotent
# request is taken as unknown, so that it can be repeated elsewhere. A link that
# was reset is open again after 0.1 s.
LINK_RESTORE_S = 0.3


@dataclasses.dataclass(slots=True)
class Job:
    """A request to forward, with the terms that apply to it.

    Attributes:
        request: The request as the target receives it.
        service: Name of the service that is to run it.
        idempotent: Whether it may run more than once.
        deadline: When its caller stops waiting, monotonic, in s.
        organisation: The organisation on whose behalf it is made.
        key: Its idempotency key, empty for none.
        priority: Its priority in owners' queues; higher runs first.
        team: Team that owns the route.
        revision: Revision of the settings that define the route.
        objective_s: Latency objective: an answer within this time has its
            full value, in s.
        max_runs: Largest number of workers that may run it.
        runs_in_flight: Number of owners that were sent the request and haven't told
            the outcome.
        may_have_run: Whether a worker may have run it, as far as the outcomes tell.
        withdrawn: Whether it must not be sent to an owner any more.
        expected_run_s: Time that a worker takes to run it, as owners report
            it, in s; 0 if none has.
        repeats: Whether another worker may be running it or have run it.
        may_repeat: Whether it may run again, within its limits and the retry
            budget, if the next run fails.
        may_be_nested: Whether the node's own worker may have made it while
            running another request, so that it adds no retry allowance.
        nested: Whether the worker has certainly made it.
        route: Name of its route.
        started_at: When the request arrived, monotonic, in s.
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
    runs_in_flight: int = 0
    may_have_run: bool = False
    withdrawn: bool = False
    expected_run_s: float = 0.0
    repeats: bool = False
    may_repeat: bool = False
    may_be_nested: bool = False
    nested: bool = False
    route: str = ""
    started_at: float = 0.0

    @property
    def is_keyed(self) -> bool:
        """Whether only the home worker of its idempotency key may run it."""
        return bool(self.key) and not self.idempotent

    @property
    def may_have_started(self) -> bool:
        """Whether a worker may be running it or have run it.

        Unless it is idempotent, it can't be cancelled any more then.
        """
        return self.may_have_run or self.runs_in_flight > 0


@dataclasses.dataclass(slots=True)
class ForwardResult:
    """Result of one offer, or of all offers of a request.

    Attributes:
        code: The result code.
        worker: Name of the worker that was offered the request, if any.
        reply: The worker's reply, if there is one.
        load: The load of the worker as its owner reported it, if it did.
    """

    code: codes.Code
    worker: str = ""
    reply: wire.Reply | None = None
    load: wire.Load | msgspec.UnsetType = msgspec.UNSET

    @property
    def succeeded(self) -> bool:
        """Whether a worker answered without a server error."""
        return self.reply is not None and self.reply.status < 500

    @property
    def wait_s(self) -> float:
        """Time until the owner would probably accept a request, in s."""
        if isinstance(self.load, msgspec.UnsetType):
            return 0.0
        return self.load.wait_ms / 1000

    @property
    def run_s(self) -> float:
        """Mean time of the worker's runs, in s; 0 if the owner told none."""
        if isinstance(self.load, msgspec.UnsetType):
            return 0.0
        return self.load.latency_us / 1_000_000


class Attempt:
    """Offers a job to one owner and waits for the result."""

    def __init__(
        self,
        job: Job,
        offer: wire.Offer,
        channel: link.Channel,
        inbox: asyncio.Queue[base.Message | link.LinkChange],
        time: clock.Clock,
        hold_timeout_s: float = HOLD_TIMEOUT_S,
        claim: Callable[[], bool] | None = None,
        is_leaving: Callable[[], bool] | None = None,
    ):
        """Prepares the exchange; `run` sends the offer.

        Args:
            job: The request.
            offer: The offer to send.
            channel: Channel to the owner's node.
            inbox: Receives the owner's messages of this exchange, and changes
                of the link.
            time: The clock.
            hold_timeout_s: Longest wait for a hold, in s.
            claim: Returns whether the request may be sent, now that a slot is
                held for it; None if it always may.
            is_leaving: Returns whether the target has begun to leave since the
                offer; None if only its owner can tell.
        """
        self._is_leaving = is_leaving
        self._hold_timeout_s = hold_timeout_s
        self._claim = claim
        self._job = job
        self._offer = offer
        self._channel = channel
        self._inbox = inbox
        self._clock = time
        self._ticket = b""
        self._owner = offer.owner
        self._request_sent = False

    async def run(self, hold_first: bool) -> ForwardResult:
        """Runs the exchange.

        Args:
            hold_first: Whether to reserve a slot before the request is sent;
                otherwise the request is attached to the offer.
        """
        outcome = codes.Outcome.UNKNOWN
        try:
            if hold_first:
                result = await self._run_with_hold()
            else:
                result = await self._run_at_once()
            outcome = codes.outcome(result.code)
            return result
        finally:
            if self._request_sent:
                self._job.runs_in_flight -= 1
                self._job.may_have_run |= outcome is not codes.Outcome.NOT_RUN

    async def _run_at_once(self) -> ForwardResult:
        if self._job.withdrawn:
            return self._failure(codes.Code.NODE_LEAVING)
        self._record_sending()
        if not await self._send_offer():
            return self._failure(codes.Code.LINK_DOWN)
        return await self._wait_for_reply()

    def _record_sending(self) -> None:
        self._request_sent = True
        self._job.runs_in_flight += 1

    async def _send_offer(self) -> bool:
        """Sends the offer; waits briefly for a link that isn't open yet."""
        if self._channel.send(self._offer):
            return True
        wait_s = min(LINK_WAIT_S, self._remaining_s())
        if not await self._channel.ready(wait_s):
            return False
        self._offer.remaining_ms = max(0, int(self._remaining_s() * 1000))
        return self._channel.send(self._offer)

    def _remaining_s(self) -> float:
        return self._job.deadline - self._clock.monotonic()

    def _failure(self, code: codes.Code) -> ForwardResult:
        return ForwardResult(code, self._offer.worker)

    async def _run_with_hold(self) -> ForwardResult:
        if not await self._send_offer():
            return self._failure(codes.Code.LINK_DOWN)
        sent_at = self._clock.monotonic()
        hold_settled = False
        try:
            message = await self._receive_hold()
            if isinstance(message, link.LinkChange):
                # The offer or the hold may be lost.
                return self._failure(codes.Code.LINK_DOWN)
            if not isinstance(message, wire.Held):
                hold_settled = message is not None
                return self._result_without_hold(message)
            code = self._expiry_code(sent_at, message)
            if code is not None:
                return self._failure(code)
            if self._claim is not None and not self._claim():
                return self._failure(codes.Code.TICKET_LAPSED)
            hold_settled = self._send_go(message)
        finally:
            # The owner may hold a slot that won't be used: release it.
            if not hold_settled:
                self._channel.send(wire.Cancel(self._offer.id))
        if not hold_settled:
            return self._failure(codes.Code.LINK_DOWN)
        return await self._wait_for_reply()

    async def _receive_hold(self) -> base.Message | link.LinkChange | None:
        """Waits for the answer to the offer, or the loss of the link."""
        wait_until = self._clock.monotonic() + self._hold_wait_s()
        while True:
            wait_s = max(0.0, wait_until - self._clock.monotonic())
            message = await self._receive(wait_s)
            # A link that opens announces itself while the offer is sent.
            if not isinstance(message, link.LinkChange) or not message.is_open:
                return message

    def _hold_wait_s(self) -> float:
        # The home of an idempotency key answers an offer only once an earlier
        # request with the same key has ended.
        if self._job.is_keyed:
            return self._remaining_s()
        return min(self._hold_timeout_s, self._remaining_s())

    def _result_without_hold(
        self, message: base.Message | None
    ) -> ForwardResult:
        if message is None:
            return self._failure(codes.Code.HOLD_TIMEOUT)
        return self._result_of_message(message)

    def _expiry_code(
        self, sent_at: float, held: wire.Held
    ) -> codes.Code | None:
        """Returns why a hold can't be used any more; None if it is valid."""
        if self._job.withdrawn:
            return codes.Code.NODE_LEAVING
        if self._is_leaving is not None and self._is_leaving():
            return codes.Code.WORKER_DRAINED
        if self._remaining_s() <= 0:
            return codes.Code.DEADLINE_EXPIRED
        if self._clock.monotonic() - sent_at > self._hold_lifetime_s(held):
            return codes.Code.HOLD_TIMEOUT
        return None

    def _hold_lifetime_s(self, held: wire.Held) -> float:
        # An offer with an idempotency key, or one that waits in a queue, may be
        # held long after it was sent, so its age is no measure of the hold's;
        # the owner checks the ticket.
        if self._job.is_keyed or self._claim is not None:
            return self._remaining_s()
        return held.lapse_ms / 1000

    def _send_go(self, held: wire.Held) -> bool:
        remaining_ms = int(self._remaining_s() * 1000)
        self._ticket = held.ticket
        self._owner = held.owner
        self._record_sending()
        return self._channel.send(
            wire.Go(
                self._offer.id, held.ticket, remaining_ms, self._job.request
            )
        )

    async def _wait_for_reply(self) -> ForwardResult:
        """Waits for the reply; cancels the run if the wait is cancelled."""
        try:
            return await self._receive_reply()
        except asyncio.CancelledError:
            # The owner ignores it if the request must run to its end.
            self._channel.send(wire.Cancel(self._offer.id))
            raise

    async def _receive_reply(self) -> ForwardResult:
        lost_at: float | None = None
        while True:
            message = await self._receive(self._reply_wait_s(lost_at))
            if message is None and lost_at is not None and self._job.idempotent:
                return self._failure(codes.Code.LINK_LOST)
            if message is None:
                return self._failure(codes.Code.REPLY_TIMEOUT)
            if not isinstance(message, link.LinkChange):
                if self._ends_exchange(message):
                    return self._result_of_message(message)
            elif not message.is_open:
                lost_at = lost_at or self._clock.monotonic()
            elif lost_at is not None:
                lost_at = None
                self._resume(message.channel)

    def _reply_wait_s(self, lost_at: float | None) -> float:
        """Returns the longest time to wait for a reply, in s.

        Args:
            lost_at: When the link was lost, monotonic, in s; None if it is
                open.
        """
        remaining_s = self._remaining_s()
        if lost_at is None or not self._job.idempotent:
            return remaining_s
        lost_for_s = self._clock.monotonic() - lost_at
        return min(remaining_s, max(0.0, LINK_RESTORE_S - lost_for_s))

    def _resume(self, channel: link.Channel) -> None:
        """Asks the owner for the outcome over the link that was restored."""
        self._channel = channel
        channel.send(wire.Resume(self._offer.id, self._ticket, self._owner))

    def _ends_exchange(self, message: base.Message) -> bool:
        if isinstance(message, wire.Reply):
            return True
        if not isinstance(message, wire.Refusal):
            return False
        # A refusal without the ticket refuses the offer, for example when a
        # later incarnation of the owner gets it, and doesn't show whether the
        # Go message was accepted.
        return message.ticket == self._ticket

    async def _receive(
        self, timeout_s: float
    ) -> base.Message | link.LinkChange | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._inbox.get()
        except TimeoutError:
            pass
        # After the process was paused, a message may have arrived together
        # with the timeout.
        return None if self._inbox.empty() else self._inbox.get_nowait()

    def _result_of_message(
        self, message: wire.Reply | wire.Refusal
    ) -> ForwardResult:
        if isinstance(message, wire.Refusal):
            code = _known_code(message.code)
            return ForwardResult(code, self._offer.worker, load=message.load)
        is_whole = len(message.body) == message.length
        if not is_whole or digests.of_reply(message) != message.digest:
            return self._failure(codes.Code.REPLY_TRUNCATED)
        code = codes.Code.ANSWERED
        if message.before:
            code = codes.Code.ANSWERED_BEFORE
        return ForwardResult(code, self._offer.worker, message, message.load)


def _known_code(number: int) -> codes.Code:
    """Converts a received code; one of a newer version keeps its outcome."""
    try:
        return codes.Code(number)
    except ValueError:
        pass
    if codes.outcome(number) is codes.Outcome.NOT_RUN:
        return codes.Code.INTERNAL_ERROR_BEFORE_RUN
    return codes.Code.INTERNAL_ERROR_AFTER_RUN
