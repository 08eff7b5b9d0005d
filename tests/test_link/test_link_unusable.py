"""Links to addresses that ZeroMQ refuses."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import link
from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire

_ATTEMPTS = 1_100


class UnusableAddressTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            transport = zeromq.ZeromqTransport("a", metrics.Metrics())
            try:
                await scenario(transport)
            finally:
                await transport.close()

        asyncio.run(run())

    def test_refused_address_gives_a_channel_that_sends_nothing(self):
        """An exception ended the tasks that talk to peers."""

        async def scenario(transport: zeromq.ZeromqTransport) -> None:
            for address in ("http://10.0.0.1:7", "10.0.0.1", "*:7", ""):
                for connect in (
                    transport.connect,
                    transport.connect_bulk,
                    transport.connect_control,
                ):
                    channel = connect("b", address)
                    self.assertFalse(channel.send(wire.Nack(b"1")), address)
                    self.assertFalse(await channel.ready(1.0), address)
                transport.disconnect("b")

        self._run(scenario)

    def test_refused_addresses_leave_no_socket_open(self):
        async def scenario(transport: zeromq.ZeromqTransport) -> None:
            for _ in range(_ATTEMPTS):
                transport.connect("b", "http://10.0.0.1:7")
            channel = transport.connect("c", "127.0.0.1:7")
            self.assertNotIsInstance(channel, link.ClosedChannel)

        self._run(scenario)

    def test_more_peers_than_sockets_raise_nothing(self):
        async def scenario(transport: zeromq.ZeromqTransport) -> None:
            for number in range(_ATTEMPTS):
                transport.connect(f"peer-{number}", "127.0.0.1:7")

        self._run(scenario)
