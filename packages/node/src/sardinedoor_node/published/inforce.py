"""The configuration that is in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_node.published import refusals

if TYPE_CHECKING:
    import result

    from sardinedoor_node import metrics
    from sardinedoor_node import published
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)

# Bounds the length of a log line.
_MAX_LOGGED_KINDS = 8


class ConfigurationInForce:
    """The valid configuration of the highest version that was published.

    Attributes:
        value: The configuration, None if there was none yet.
        item: The item that it was decoded from.
    """

    def __init__(self, counters: metrics.Metrics):
        """Starts without a configuration.

        Args:
            counters: Counts the configurations that aren't used.
        """
        self._metrics = counters
        self.value: published.Configuration | None = None
        self.item: wire.Item | None = None

    def offer(
        self,
        found: result.Result[published.Configuration, str],
        item: wire.Item,
        is_stored: bool,
    ) -> None:
        """Puts a configuration in force if it is valid and newer.

        Args:
            found: The decoded configuration, or why it is invalid.
            item: The item that it was decoded from.
            is_stored: Whether the store has this item.
        """
        if found.is_err():
            refusals.record(self._metrics, item, found.unwrap_err())
            return
        offered = found.unwrap()
        if self.value is not None and offered.version <= self.value.version:
            if is_stored and offered.version == self.value.version:
                self.item = item
            refusals.record(
                self._metrics, item, f"version {offered.version} isn't newer"
            )
            return
        self.value = offered
        self.item = item
        if offered.unknown_kinds:
            self._metrics.event("unknown_route_kind")
            logger.warning(
                "routes of unknown kinds are taken as not idempotent",
                extra={
                    "version": offered.version,
                    "kinds": offered.unknown_kinds[:_MAX_LOGGED_KINDS],
                },
            )
        logger.info(
            "configuration in force",
            extra={"version": offered.version, "revision": item.revision},
        )
