"""Sending of one offer of a job to the owner of a chosen target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import link
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import feedback
from sardinedoor_node.util import digests
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import directory
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import exchanges
    from sardinedoor_node.ingress import holding
    from sardinedoor_node.membership import targets
    from sardinedoor_node.util import clock

# A frame with a larger body would delay the small messages behind it on links
# of a few Mbit/s, so it takes a link of its own.
_MAX_SMALL_BODY_BYTES = 16 * 1024


class OfferSender:
    """Offers jobs to owners and reports the results to the picker."""

    def __init__(
        self,
        fleet: directory.Directory,
        transport: link.Transport,
        picker: picking.Picker,
        open_exchanges: exchanges.ExchangeTable,
        hold_policy: holding.HoldPolicy,
        time: clock.Clock,
        hold_timeout_s: float = attempt.HOLD_TIMEOUT_S,
    ):
        """Stores the collaborators.

        Args:
            fleet: Finds the node that owns a target.
            transport: The node's links.
            picker: Receives feedback from each offer.
            open_exchanges: Correlates owners' messages with exchanges.
            hold_policy: Decides which requests need a hold first.
            time: The clock.
            hold_timeout_s: Longest wait for a hold, in s.
        """
        self._hold_timeout_s = hold_timeout_s
        self._fleet = fleet
        self._transport = transport
        self._picker = picker
        self._exchanges = open_exchanges
        self._hold_policy = hold_policy
        self._clock = time

    async def send(
        self,
        job: attempt.Job,
        choice: picking.Choice,
        wait_s: float | None = None,
        claim: Callable[[], bool] | None = None,
    ) -> attempt.ForwardResult:
        """Sends one offer and waits for its result.

        Args:
            job: The request.
            choice: The target to offer it to.
            wait_s: Longest time to wait in the owner's queue, in s; None if
                the owner limits it.
            claim: Called before the request is sent, once the owner holds a
                slot for it. If it returns False, the slot is released.
        """
        target = choice.target
        peer = self._fleet.peer(target.node)
        if peer is None:
            return attempt.ForwardResult(codes.Code.LINK_DOWN, target.worker)
        is_bulk = len(job.request.body) > _MAX_SMALL_BODY_BYTES
        if is_bulk:
            link_name = peer.name + link.BULK_SUFFIX
            channel = self._transport.connect_bulk(peer.name, peer.link)
        else:
            link_name = peer.name
            channel = self._transport.connect(peer.name, peer.link)
        exchange_id, inbox = self._exchanges.open(link_name)
        offer = _build_offer(job, choice, exchange_id, self._clock)
        if wait_s is not None:
            offer.wait_ms = max(0, int(wait_s * 1000))
        limit = self._picker.rate_limit(target)
        if limit is not None:
            age_s = self._clock.monotonic() - limit.known_since
            offer.rate_limit = limit.rate
            offer.rate_limit_age_ms = max(0, int(age_s * 1000))
        # A large body is sent once, to an owner that has a slot for it.
        hold_first = (
            is_bulk or claim is not None or self._needs_hold(job, channel)
        )
        if not hold_first:
            offer.request = job.request
            offer.owner = peer.incarnation
        exchange = attempt.Attempt(
            job,
            offer,
            channel,
            inbox,
            self._clock,
            self._hold_timeout_s + (wait_s or 0.0),
            claim,
            lambda: self._fleet.is_leaving(target),
        )
        token = self._picker.request_started(target)
        result = None
        try:
            result = await exchange.run(hold_first)
            self._record_departure(peer, target, result)
            return result
        finally:
            self._exchanges.close(exchange_id)
            received_at = self._exchanges.last_message_at(channel)
            self._picker.request_finished(
                target, token, feedback.from_result(result, received_at)
            )

    def _record_departure(
        self,
        peer: directory.Peer,
        target: targets.Target,
        result: attempt.ForwardResult,
    ) -> None:
        """Records that the owner or the target has said that it is leaving."""
        if result.code == codes.Code.NODE_LEAVING:
            self._fleet.refused_as_leaving(peer)
        load = result.load
        if result.code == codes.Code.TARGET_LEAVING or (
            not isinstance(load, msgspec.UnsetType) and load.leaving
        ):
            self._fleet.target_is_leaving(target)

    def _needs_hold(self, job: attempt.Job, channel: link.Channel) -> bool:
        if job.idempotent:
            return False
        received_at = self._exchanges.last_message_at(channel)
        silence_s = math.inf
        if received_at is not None:
            silence_s = self._clock.monotonic() - received_at
        return job.is_keyed or self._hold_policy.needs_hold(silence_s)


def _build_offer(
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
        may_repeat=job.may_repeat,
        acknowledges=True,
        nested=job.nested,
        route="" if job.nested else job.route,
    )
