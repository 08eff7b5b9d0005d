"""Feedback for the picker from the result of an offer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node.picking import views
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.ingress import attempt


def from_result(
    result: attempt.ForwardResult | None, received_at: float | None
) -> views.Feedback:
    """Builds the feedback from one offer.

    Args:
        result: Result of the offer; None if it was cancelled.
        received_at: When the owner's node last sent anything, monotonic, in s;
            None for never.
    """
    feedback = views.Feedback(received_at)
    if result is None:
        return feedback
    feedback.send_failed = result.code == codes.Code.LINK_DOWN
    feedback.offer_timed_out = result.code == codes.Code.HOLD_TIMEOUT
    load = result.load
    if not isinstance(load, msgspec.UnsetType):
        feedback.report = views.Report(
            ejected=load.ejected,
            weight=load.weight_percent / 100,
            trial_delay_s=load.trial_ms / 1000,
            load=load.in_flight + load.queued,
            wait_s=result.wait_s,
            unheard=load.unheard,
            refused_by_limit=result.code == codes.Code.TARGET_LIMITED,
        )
        if not isinstance(load.rate_limit, msgspec.UnsetType):
            feedback.report.rate_limit = load.rate_limit
    return feedback
