"""A link whose connection goes silent is replaced by a fresh one."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

# Interval and timeout of heartbeats, a reconnect, and the machine's margin.
_BOUND_S = 1.3 + 0.7
_POLL_S = 0.02
_GIVE_UP_S = 8.0


class _Relay:
    """Forwards bytes, but loses track of connections when told."""

    def __init__(self, upstream: str):
        self._upstream = upstream
        self._epoch = 0
        self.connections = 0

    def silence(self) -> None:
        self._epoch += 1

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        host, port = self._upstream.split(":")
        far = await asyncio.open_connection(host, int(port))
        epoch = self._epoch
        await asyncio.gather(
            self._copy(reader, far[1], epoch), self._copy(far[0], writer, epoch)
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        epoch: int,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if epoch == self._epoch:
                    writer.write(data)
        except OSError:
            pass
        if epoch == self._epoch:
            writer.close()


class SilentLinkTest(testtools.TestCase):
    def test_a_fresh_connection_takes_its_place(self):
        took_s, connections = asyncio.run(self._run())
        self.assertLess(took_s, _BOUND_S)
        self.assertEqual(2, connections)

    async def _run(self) -> tuple[float, int]:
        bound, front = fleet.free_addresses(2)
        owner = zeromq.ZeromqTransport("owner", metrics.Metrics())
        owner.on_message(
            wire.Offer,
            lambda channel, offer: channel.send(wire.Refusal(offer.id, 2020)),
        )
        owner.bind(bound)
        relay = _Relay(bound)
        host, port = front.split(":")
        server = await asyncio.start_server(relay.accept, host, int(port))
        ingress = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        heard = asyncio.Event()
        ingress.on_message(wire.Refusal, lambda channel, message: heard.set())
        channel = ingress.connect("owner", front)
        try:
            await self._until_heard(channel, heard)
            relay.silence()
            heard.clear()
            return await self._until_heard(channel, heard), relay.connections
        finally:
            await ingress.close()
            await owner.close()
            server.close()

    async def _until_heard(self, channel, heard: asyncio.Event) -> float:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while not heard.is_set() and loop.time() < begun + _GIVE_UP_S:
            channel.send(wire.Offer(b"1", "s", "w", 1))
            await asyncio.sleep(_POLL_S)
        return loop.time() - begun
