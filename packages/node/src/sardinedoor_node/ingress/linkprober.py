"""Probing of silent peers and replacement of links that have failed."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import link

if TYPE_CHECKING:
    from sardinedoor_node.picking import path
    from sardinedoor_node.published import antientropy
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.1


class LinkProber:
    """Distinguishes a silent peer from a failed link to it.

    A silent peer is probed on the link that requests use. Once the path is
    suspected, the peer is probed on its control link too. If only that probe
    is answered, the request link has failed and is replaced.
    """

    def __init__(
        self,
        paths: path.PathMonitor,
        digests: antientropy.AntiEntropy,
        transport: link.Transport,
        time: clock.Clock,
    ):
        """Stores the collaborators; `run` starts the probing.

        Args:
            paths: Evidence on the paths to owners.
            digests: Asks peers for their digests, which serves as the probe.
            transport: The node's links.
            time: The clock.
        """
        self._paths = paths
        self._digests = digests
        self._transport = transport
        self._clock = time
        digests.on_digest(self._on_digest)

    async def run(self) -> None:
        """Probes silent owners until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            for name in self._paths.start_due_probes(self._clock.monotonic()):
                self._probe(name)

    def _probe(self, name: str) -> None:
        self._digests.request_digest(self._transport.connect(name, name))
        if self._paths.is_suspected(name, self._clock.monotonic()):
            control_channel = self._transport.connect_control(name, name)
            self._digests.request_digest(control_channel)

    def _on_digest(self, name: str, channel: link.Channel) -> None:
        now = self._clock.monotonic()
        if not self._paths.is_suspected(name, now):
            self._paths.frame_received(name, now)
            return
        link_failed = channel is self._transport.connect_control(name, name)
        logger.info("path regained", extra={"peer": name, "link": link_failed})
        self._paths.frame_received(name, now)
        # Disconnecting cancels the link's task. The task of one of these links
        # is running this callback, so links are closed after it has returned.
        loop = asyncio.get_running_loop()
        if link_failed:
            loop.call_soon(self._transport.reconnect, name, name)
            bulk_name = name + link.BULK_SUFFIX
            loop.call_soon(self._transport.reconnect, bulk_name, name)
        loop.call_soon(self._transport.disconnect_control, name)
