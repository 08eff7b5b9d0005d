"""Report of published items that aren't used."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)


def record(counters: metrics.Metrics, item: wire.Item, reason: str) -> None:
    """Counts and logs an item that isn't used.

    Args:
        counters: The counters.
        item: The item.
        reason: Why it isn't used.
    """
    counters.event("published_item_refused")
    logger.warning(
        "published item refused",
        extra={"key": item.key, "revision": item.revision, "reason": reason},
    )
