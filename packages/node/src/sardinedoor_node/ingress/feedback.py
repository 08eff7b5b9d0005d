"""What the outcome of an attempt tells the picker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node.picking import views
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.ingress import attempt


def of(
    outcome: attempt.Forwarded | None, heard_at: float | None
) -> views.Feedback:
    """Reads an outcome.

    Args:
        outcome: What came of the attempt; None if it was given up.
        heard_at: When the owner last sent anything, in s; None for never.
    """
    feedback = views.Feedback(heard_at)
    if outcome is None:
        return feedback
    feedback.refused = outcome.code == codes.Code.LINK_DOWN
    feedback.silent = outcome.code == codes.Code.HOLD_TIMEOUT
    load = outcome.load
    if not isinstance(load, msgspec.UnsetType):
        feedback.report = views.Report(
            load.ejected,
            load.weight_percent / 100,
            load.trial_ms / 1000,
            load.in_flight + load.queued,
        )
    return feedback
