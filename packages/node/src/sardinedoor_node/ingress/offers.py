"""One offer of a job to the owner of a chosen target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import feedback
from sardinedoor_node.util import digests
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import directory
    from sardinedoor_node import link
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import exchanges
    from sardinedoor_node.ingress import holding
    from sardinedoor_node.util import clock


class Offers:
    """Offers jobs to owners, and tells the picker what came of it."""

    def __init__(
        self,
        fleet: directory.Directory,
        transport: link.Transport,
        picker: picking.Picker,
        open_exchanges: exchanges.ExchangeTable,
        policy: holding.HoldPolicy,
        time: clock.Clock,
        hold_timeout_s: float = attempt.HOLD_TIMEOUT_S,
    ):
        """Remembers its parts.

        Args:
            fleet: Tells how an owner is reached.
            transport: The node's links.
            picker: Learns from each outcome.
            open_exchanges: Correlates replies.
            policy: When to hold first.
            time: The clock.
            hold_timeout_s: Longest wait for a hold, in s.
        """
        self._hold_timeout_s = hold_timeout_s
        self._fleet = fleet
        self._transport = transport
        self._picker = picker
        self._exchanges = open_exchanges
        self._policy = policy
        self._clock = time

    async def make(
        self, job: attempt.Job, choice: picking.Choice
    ) -> attempt.Forwarded:
        """Makes one offer and waits for its outcome."""
        target = choice.target
        peer = self._fleet.peer(target.node)
        if peer is None:
            return attempt.Forwarded(codes.Code.LINK_DOWN, target.worker)
        channel = self._transport.connect(peer.name, peer.link)
        exchange_id, inbox = self._exchanges.open()
        offer = _offer(job, choice, exchange_id, self._clock)
        hold = self._holds(job, channel)
        if not hold:
            offer.request = job.request
            offer.owner = peer.incarnation
        started = attempt.Attempt(
            job, offer, channel, inbox, self._clock, self._hold_timeout_s
        )
        token = self._picker.started(target)
        outcome = None
        try:
            outcome = await started.run(hold)
            if outcome.code == codes.Code.NODE_LEAVING:
                self._fleet.refused_as_leaving(peer)
            return outcome
        finally:
            self._exchanges.close(exchange_id)
            heard = self._exchanges.heard(channel)
            self._picker.finished(target, token, feedback.of(outcome, heard))

    def _holds(self, job: attempt.Job, channel: link.Channel) -> bool:
        if job.idempotent:
            return False
        heard = self._exchanges.heard(channel)
        heard_s = math.inf
        if heard is not None:
            heard_s = self._clock.monotonic() - heard
        return job.keyed or self._policy.holds(heard_s)


def _offer(
    job: attempt.Job,
    choice: picking.Choice,
    exchange_id: bytes,
    time: clock.Clock,
) -> wire.Offer:
    remaining_s = job.deadline - time.monotonic()
    return wire.Offer(
        id=exchange_id,
        service=choice.target.service,
        worker=choice.target.worker,
        remaining_ms=max(0, int(remaining_s * 1000)),
        idempotent=job.idempotent,
        organisation=job.organisation,
        priority=job.priority,
        key=job.key,
        team=job.team,
        revision=job.revision,
        fingerprint=digests.of_request(
            choice.target.service, job.organisation, job.request
        ),
        rotation=choice.rotation.value,
        repeats=job.repeats,
    )
