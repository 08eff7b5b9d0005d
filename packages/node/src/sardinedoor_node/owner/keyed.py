"""Requests with an idempotency key: each runs once, at the key's home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.owner import ledger
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sardinedoor_node.owner import exchange
    from sardinedoor_node.owner import homes
    from sardinedoor_node.owner import workers
    from sardinedoor_node.util import clock

    Run = Callable[[], Awaitable[wire.Reply | wire.Refusal]]


class KeyedRequests:
    """Runs a key's first request, and repeats its outcome to the others."""

    def __init__(
        self, key_homes: homes.Homes, kept: ledger.Ledger, time: clock.Clock
    ):
        """Starts with no key known.

        Args:
            key_homes: Which worker is home to a key.
            kept: The keys that ran here.
            time: The clock.
        """
        self._homes = key_homes
        self._ledger = kept
        self._clock = time

    async def serve(
        self,
        asked: exchange.Exchange,
        worker: workers.LocalWorker,
        run: Run,
    ) -> wire.Reply | wire.Refusal:
        """Serves one exchange.

        Args:
            asked: The exchange.
            worker: The worker that was asked for.
            run: Runs the request of the exchange.

        Returns:
            What to tell the ingress.
        """
        offer = asked.offer
        name = ledger.scope(
            offer.team, offer.service, offer.organisation, offer.key
        )
        while (entry := self._ledger.find(name)) is not None:
            if entry.fingerprint != offer.fingerprint:
                return asked.refuse(codes.Code.KEY_REUSED)
            left_s = asked.deadline - self._clock.monotonic()
            if not await entry.wait(max(0.0, left_s)):
                return asked.refuse(codes.Code.REPLY_TIMEOUT)
            if not entry.abandoned:
                return entry.repeat(offer.id)
        code = self._refusal(offer, worker, name)
        if code is not None:
            return asked.refuse(code)
        time_ms = ledger.key_time_ms(offer.key)
        entry = self._ledger.begin(name, offer.fingerprint, time_ms)
        return await self._record(asked, entry, run)

    def _refusal(
        self, offer: wire.Offer, worker: workers.LocalWorker, name: bytes
    ) -> codes.Code | None:
        if self._homes.home(offer.service, name) != worker.name:
            return codes.Code.NOT_HOME
        homed_ms = self._homes.since_ms(offer.service, name, worker.name)
        time_ms = ledger.key_time_ms(offer.key)
        return self._ledger.refusal(time_ms, homed_ms)

    async def _record(
        self, asked: exchange.Exchange, entry: ledger.Entry, run: Run
    ) -> wire.Reply | wire.Refusal:
        message = asked.refuse(codes.Code.INTERNAL_ERROR_AFTER_RUN)
        try:
            message = await run()
        finally:
            if not asked.started or _was_not_run(message):
                self._ledger.abandon(entry)
            else:
                self._ledger.finish(entry, message)
        return message


def _was_not_run(message: wire.Reply | wire.Refusal) -> bool:
    return (
        isinstance(message, wire.Refusal)
        and codes.outcome(message.code) is codes.Outcome.NOT_RUN
    )
