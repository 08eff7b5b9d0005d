"""Small requests beside uploads on a slow link between two nodes."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

# 5.5 Mbit/s, the slowest link of the users' deployments.
_BYTES_PER_S = 5.5e6 / 8
_CHUNK_BYTES = 4096
_UPLOAD_BYTES = 360_000
_SMALL_REQUESTS = 12
_INTERVAL_S = 0.04


class _SlowLink:
    """TCP relay whose connections share a bandwidth, chunk by chunk."""

    def __init__(self, upstream: str):
        self._upstream = upstream
        self._turn = asyncio.Lock()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._upstream.split(":")
        upstream = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._copy(reader, upstream[1]),
                self._copy(upstream[0], writer),
            )
        finally:
            upstream[1].close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                async with self._turn:
                    await asyncio.sleep(len(data) / _BYTES_PER_S)
                    writer.write(data)
        except OSError:
            pass
        writer.close()


async def _measure(separate: bool) -> float:
    """Returns the longest time of a small exchange beside an upload, in s."""
    owner_address, relay_address = fleet.free_addresses(2)
    owner = zeromq.ZeromqTransport("owner", metrics.Metrics())
    owner.on_message(
        wire.Offer,
        lambda channel, offer: channel.send(wire.Refusal(offer.id, 2024)),
    )
    owner.on_message(wire.Go, lambda channel, go: None)
    owner.bind(owner_address)
    relay = _SlowLink(owner_address)
    host, port = relay_address.split(":")
    server = await asyncio.start_server(relay.accept, host, int(port))
    ingress = zeromq.ZeromqTransport("ingress", metrics.Metrics())
    answered = asyncio.Event()
    ingress.on_message(wire.Refusal, lambda channel, message: answered.set())
    small = ingress.connect("owner", relay_address)
    bulk = small
    if separate:
        bulk = ingress.connect_bulk("owner", relay_address)
    loop = asyncio.get_running_loop()
    longest_s = 0.0
    try:
        assert await small.ready(2.0)
        assert await bulk.ready(2.0)
        upload = wire.Request("POST", "/", [], bytes(_UPLOAD_BYTES))
        bulk.send(wire.Go(b"1", b"t", 1000, upload))
        for number in range(_SMALL_REQUESTS):
            answered.clear()
            started_at = loop.time()
            small.send(wire.Offer(b"%d" % number, "s", "w", 1000))
            await answered.wait()
            longest_s = max(longest_s, loop.time() - started_at)
            await asyncio.sleep(_INTERVAL_S)
    finally:
        await ingress.close(0)
        await owner.close(0)
        server.close()
    return longest_s


class BulkLinkTest(testtools.TestCase):
    def test_small_messages_do_not_queue_behind_an_upload(self):
        alone_s = _UPLOAD_BYTES / _BYTES_PER_S
        self.assertGreater(asyncio.run(_measure(separate=False)), alone_s / 2)
        self.assertLess(asyncio.run(_measure(separate=True)), alone_s / 4)
