"""Deduplication of requests by idempotency key, at the home of the key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.owner import ledger
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sardinedoor_node.owner import openexchange
    from sardinedoor_node.owner import placement
    from sardinedoor_node.owner import workers
    from sardinedoor_node.util import clock

    Run = Callable[[], Awaitable[wire.Reply | wire.Refusal]]


class KeyedRequests:
    """Runs the first request with a key and replays its outcome to repeats."""

    def __init__(
        self,
        key_placement: placement.KeyPlacement,
        key_ledger: ledger.Ledger,
        time: clock.Clock,
    ):
        """Stores the collaborators.

        Args:
            key_placement: Maps keys to their home workers.
            key_ledger: Keys that have run here.
            time: The clock.
        """
        self._placement = key_placement
        self._ledger = key_ledger
        self._clock = time

    async def serve(
        self,
        open_exchange: openexchange.Exchange,
        worker: workers.LocalWorker,
        run: Run,
    ) -> wire.Reply | wire.Refusal:
        """Runs the request of an exchange or replays an earlier outcome.

        While an earlier request with the key is running, this one waits for
        its outcome until the deadline.

        Args:
            open_exchange: The exchange.
            worker: The worker that the offer names.
            run: Runs the request of the exchange.

        Returns:
            The message for the ingress.
        """
        offer = open_exchange.offer
        scope = ledger.scope_digest(
            offer.team, offer.service, offer.organisation, offer.key
        )
        while (entry := self._ledger.find(scope)) is not None:
            if entry.fingerprint != offer.fingerprint:
                return open_exchange.refuse(codes.Code.KEY_REUSED)
            remaining_s = open_exchange.deadline - self._clock.monotonic()
            if not await entry.wait(max(0.0, remaining_s)):
                return open_exchange.refuse(codes.Code.REPLY_TIMEOUT)
            if not entry.abandoned:
                return entry.replay(offer.id)
        code = self._refusal_code(offer, worker, scope)
        if code is not None:
            return open_exchange.refuse(code)
        time_ms = ledger.key_time_ms(offer.key)
        entry = self._ledger.begin(scope, offer.fingerprint, time_ms)
        return await self._run_and_record(open_exchange, entry, run)

    def _refusal_code(
        self, offer: wire.Offer, worker: workers.LocalWorker, scope: bytes
    ) -> codes.Code | None:
        if self._placement.home_worker(offer.service, scope) != worker.name:
            return codes.Code.NOT_HOME
        home_since_ms = self._placement.home_since_ms(
            offer.service, scope, worker.name
        )
        time_ms = ledger.key_time_ms(offer.key)
        return self._ledger.refusal_code(time_ms, home_since_ms)

    async def _run_and_record(
        self,
        open_exchange: openexchange.Exchange,
        entry: ledger.Entry,
        run: Run,
    ) -> wire.Reply | wire.Refusal:
        message = open_exchange.refuse(codes.Code.INTERNAL_ERROR_AFTER_RUN)
        try:
            message = await run()
        finally:
            if not open_exchange.run_started or _was_not_run(message):
                self._ledger.abandon(entry)
            else:
                self._ledger.finish(entry, message)
        return message


def _was_not_run(message: wire.Reply | wire.Refusal) -> bool:
    return (
        isinstance(message, wire.Refusal)
        and codes.outcome(message.code) is codes.Outcome.NOT_RUN
    )
