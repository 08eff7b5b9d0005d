"""A connection that stays open but passes no data is replaced.

Guards against links that wait for the operating system to notice that a peer
is gone, as after a network cut without a reset.
"""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

# Heartbeat interval and timeout, plus a reconnect and a margin for slow
# machines.
_MAX_RECOVERY_S = 1.3 + 0.7
_POLL_S = 0.02
_REPLY_TIMEOUT_S = 8.0


class _Relay:
    """TCP relay that can stop forwarding on its open connections."""

    def __init__(self, upstream: str):
        self._upstream = upstream
        self._generation = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._handlers: list[asyncio.Task] = []
        self.connections = 0

    async def close(self) -> None:
        """Closes all connections, the silenced ones too."""
        for writer in self._writers:
            writer.close()
        await asyncio.gather(*self._handlers)
        closed = [writer.wait_closed() for writer in self._writers]
        await asyncio.gather(*closed, return_exceptions=True)

    def silence(self) -> None:
        """Stops forwarding on open connections without closing them."""
        self._generation += 1

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._handlers.append(asyncio.current_task())
        host, port = self._upstream.split(":")
        upstream = await asyncio.open_connection(host, int(port))
        self._writers += [writer, upstream[1]]
        generation = self._generation
        await asyncio.gather(
            self._copy(reader, upstream[1], generation),
            self._copy(upstream[0], writer, generation),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if generation == self._generation:
                    writer.write(data)
        except OSError:
            pass
        if generation == self._generation:
            writer.close()


class SilentLinkTest(testtools.TestCase):
    def test_silent_connection_is_replaced(self):
        recovery_s, connections = asyncio.run(self._run())
        self.assertLess(recovery_s, _MAX_RECOVERY_S)
        self.assertEqual(2, connections)

    async def _run(self) -> tuple[float, int]:
        owner_address, relay_address = fleet.free_addresses(2)
        owner = zeromq.ZeromqTransport("owner", metrics.Metrics())
        owner.on_message(
            wire.Offer,
            lambda channel, offer: channel.send(wire.Refusal(offer.id, 2020)),
        )
        owner.bind(owner_address)
        relay = _Relay(owner_address)
        host, port = relay_address.split(":")
        server = await asyncio.start_server(relay.accept, host, int(port))
        ingress = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        replied = asyncio.Event()
        ingress.on_message(wire.Refusal, lambda channel, message: replied.set())
        channel = ingress.connect("owner", relay_address)
        try:
            await self._time_to_reply(channel, replied)
            relay.silence()
            replied.clear()
            return await self._time_to_reply(
                channel, replied
            ), relay.connections
        finally:
            await ingress.close()
            await owner.close()
            server.close()
            await relay.close()

    async def _time_to_reply(self, channel, replied: asyncio.Event) -> float:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while (
            not replied.is_set() and loop.time() < started_at + _REPLY_TIMEOUT_S
        ):
            channel.send(wire.Offer(b"1", "s", "w", 1))
            await asyncio.sleep(_POLL_S)
        return loop.time() - started_at
