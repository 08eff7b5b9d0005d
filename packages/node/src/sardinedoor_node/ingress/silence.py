"""Asks silent owners for a sign of life, and replaces silent links."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.picking import path
    from sardinedoor_node.published import spread
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

_TICK_S = 0.1


class SilenceWatch:
    """Tells a silent peer from a silent link.

    A silent peer is asked on the link that requests use; a suspected one on
    another link too. If it answers there alone, the link is at fault and a
    new one takes its place.
    """

    def __init__(
        self,
        paths: path.PathEvidence,
        digests: spread.Spread,
        transport: link.Transport,
        time: clock.Clock,
    ):
        """Remembers its parts; no task runs yet.

        Args:
            paths: Evidence on the paths to owners.
            digests: Asks peers.
            transport: The node's links.
            time: The clock.
        """
        self._paths = paths
        self._digests = digests
        self._transport = transport
        self._clock = time
        digests.on_heard(self._on_heard)

    async def run(self) -> None:
        """Looks for silent owners until cancelled."""
        while True:
            await self._clock.sleep(_TICK_S)
            for name in self._paths.to_ask(self._clock.monotonic()):
                self._ask(name)

    def _ask(self, name: str) -> None:
        self._digests.ask(self._transport.connect(name, name))
        if self._paths.suspected(name, self._clock.monotonic()):
            control = self._transport.connect_control(name, name)
            self._digests.ask(control)

    def _on_heard(self, name: str, channel: link.Channel) -> None:
        now = self._clock.monotonic()
        if not self._paths.suspected(name, now):
            self._paths.heard(name, now)
            return
        replaced = channel is self._transport.connect_control(name, name)
        logger.info("path regained", extra={"peer": name, "link": replaced})
        self._paths.heard(name, now)
        loop = asyncio.get_running_loop()
        if replaced:
            # The link's own task is the one that brought the answer.
            loop.call_soon(self._transport.disconnect, name)
        loop.call_soon(self._transport.disconnect_control, name)
