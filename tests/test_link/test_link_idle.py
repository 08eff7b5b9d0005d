"""Links to peers that are gone."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from sardinedoor_node import link
from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq

_PEERS = 5_000
_PEERS_AT_ONCE = 100


class IdleLinkTest(testtools.TestCase):
    def test_links_to_replaced_peers_are_closed(self):
        """No link could be opened any more after about a thousand peers."""

        async def run() -> int:
            transport = zeromq.ZeromqTransport("a", metrics.Metrics())
            most = 0
            try:
                for number in range(_PEERS):
                    channel = transport.connect(f"p{number}", "127.0.0.1:7")
                    self.assertNotIsInstance(channel, link.ClosedChannel)
                    if number % _PEERS_AT_ONCE == 0:
                        transport.close_idle()
                        most = max(most, len(transport._peers))
            finally:
                await transport.close()
            return most

        with mock.patch.object(zeromq, "_IDLE_TIMEOUT_S", 0.0):
            most = asyncio.run(run())
        self.assertLess(most, 2 * _PEERS_AT_ONCE)
