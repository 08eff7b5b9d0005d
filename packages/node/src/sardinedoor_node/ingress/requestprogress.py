"""Offers made for one request and their outcomes so far."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.membership import targets


@dataclasses.dataclass(slots=True)
class OfferRecord:
    """Log record of one offer.

    Attributes:
        worker: Name of the worker that the request was offered to.
        code: Result code of the offer.
        status: HTTP status of the worker's reply, 0 without a reply.
        unhealthy_percent: Estimated probability, when the target was picked,
            that it is unhealthy, in percent.
        duration_ms: Duration of the offer, in ms.
    """

    worker: str
    code: int
    status: int
    unhealthy_percent: int
    duration_ms: int


@dataclasses.dataclass(slots=True)
class Progress:
    """Offers made for one request, and their outcomes so far.

    Attributes:
        started_at: When the request arrived, monotonic, in s.
        job: The request as it is forwarded; None before that.
        tried: Names of the workers that it is not offered to again.
        may_have_run: Names of the workers that may have run it.
        busy: Targets whose owners had no free slot, by worker.
        offer_records: Log records of the offers that ended.
        last_result: Result of the offer that ended last, or was answered.
        failure: The result unless a later offer succeeds: the newest reply
            with a server error, else the first failure without a reply.
        ejected_count: Number of owners that refused it for the health of their
            target.
        free_at: When one of the busy owners would probably take a further
            request, monotonic, in s; infinite if none told.
        nested: Whether it counts as a call of the node's own worker.
        is_call: Whether the node's own worker has certainly made it.
        link_was_down: Whether an owner's link wasn't open.
        waited: Whether it was offered to owners' queues.
        last_resorts: Names of the workers tried though probably failing.
        offer_count: Number of offers made.
        answered: Whether a worker replied without a server error.
        stopped: Whether no more offers may be made.
        hedge_decided: Whether the time for a hedge has come and it was allowed
            or denied; this happens at most once for each request.
        slot_wait_s: Time from its arrival to the last offer that got a slot or
            was sent with the request, in s.
        early_hedge_decided: Whether extra work for a slow answer was allowed or
            denied.
        hedge_pending: Whether the retry budget allowed the hedge and its
            offer hasn't been made yet.
    """

    started_at: float
    job: attempt.Job | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: set[str] = dataclasses.field(default_factory=set)
    busy: dict[str, targets.Target] = dataclasses.field(default_factory=dict)
    offer_records: list[OfferRecord] = dataclasses.field(default_factory=list)
    last_result: attempt.ForwardResult = dataclasses.field(
        default_factory=lambda: attempt.ForwardResult(codes.Code.NO_TARGET)
    )
    failure: attempt.ForwardResult | None = None
    ejected_count: int = 0
    free_at: float = math.inf
    nested: bool = False
    is_call: bool = False
    link_was_down: bool = False
    waited: bool = False
    last_resorts: set[str] = dataclasses.field(default_factory=set)
    offer_count: int = 0
    answered: bool = False
    stopped: bool = False
    hedge_decided: bool = False
    early_hedge_decided: bool = False
    hedge_pending: bool = False
    slot_wait_s: float = 0.0

    def slot_granted(self, now: float) -> None:
        """Records that an owner holds a slot, or is sent the request."""
        self.slot_wait_s = now - self.started_at

    def result(self) -> attempt.ForwardResult:
        """Returns the combined result of all offers.

        Its outcome is "not run" only if no worker may have run the request. A
        reply with a server error takes precedence over a failure without a
        reply.
        """
        last = self.last_result
        return last if self.answered else self.failure or last
