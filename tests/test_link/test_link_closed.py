"""Sends on channels whose link was closed meanwhile."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire
from sardinedoor_standins import sockets


class ClosedLinkTest(testtools.TestCase):
    def test_send_fails_after_disconnect(self):
        async def run() -> list[bool]:
            address = sockets.free_addresses(1)[0]
            transport = zeromq.ZeromqTransport("a", metrics.Metrics())
            transport.bind(address)
            sent = []
            try:
                for connect, disconnect in (
                    (transport.connect, transport.disconnect),
                    (transport.connect_control, transport.disconnect_control),
                ):
                    channel = connect("b", address)
                    disconnect("b")
                    sent.append(channel.send(wire.Nack(b"1")))
            finally:
                await transport.close()
            return sent

        self.assertEqual([False, False], asyncio.run(run()))
