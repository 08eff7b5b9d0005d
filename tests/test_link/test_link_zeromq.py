"""The ZeroMQ transport over loopback connections."""

from __future__ import annotations

import asyncio
import random
import threading
import time

import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

_ROUNDS = 300
_TIMEOUT_S = 20.0
_MAX_BLOCK_S = 0.002
_SEED = 1


class ZeromqTransportTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._address = fleet.free_addresses(1)[0]
        self._stop = threading.Event()

    def test_replies_that_arrive_during_sends_are_read(self):
        """A send may consume the signal that a frame has arrived.

        Unless the events of the socket are read again after the send, that
        frame stays unread until another one arrives.
        """
        owner = threading.Thread(target=asyncio.run, args=(self._serve(),))
        owner.start()
        try:
            asyncio.run(self._send_offers())
        finally:
            self._stop.set()
            owner.join()

    def test_send_on_a_closed_link_fails(self):
        async def run() -> bool:
            transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
            channel = transport.connect("owner", self._address)
            transport.disconnect("owner")
            try:
                return channel.send(wire.Offer(b"1", "s", "w", 1))
            finally:
                await transport.close()

        self.assertFalse(asyncio.run(run()))

    async def _serve(self) -> None:
        transport = zeromq.ZeromqTransport("owner", metrics.Metrics())
        transport.on_message(
            wire.Offer,
            lambda channel, offer: channel.send(wire.Refusal(offer.id, 2020)),
        )
        transport.bind(self._address)
        while not self._stop.is_set():
            await asyncio.sleep(0.01)
        await transport.close()

    async def _send_offers(self) -> None:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        replies = asyncio.Semaphore(0)
        transport.on_message(
            wire.Refusal, lambda channel, message: replies.release()
        )
        channel = transport.connect("owner", self._address)
        offer = wire.Offer(b"1", "s", "w", 1)
        rng = random.Random(_SEED)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                while not channel.send(offer):
                    await asyncio.sleep(0.01)
                await replies.acquire()
                for _ in range(_ROUNDS):
                    await self._send_two_offers(channel, offer, rng, replies)
        finally:
            await transport.close()

    async def _send_two_offers(self, channel, offer, rng, replies) -> None:
        self.assertTrue(channel.send(offer))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # Blocks the event loop while the first reply arrives.
        time.sleep(rng.random() * _MAX_BLOCK_S)
        self.assertTrue(channel.send(offer))
        await replies.acquire()
        await replies.acquire()

    def test_ready_waits_until_the_link_is_open(self):
        owner = threading.Thread(target=asyncio.run, args=(self._serve(),))
        owner.start()
        try:
            self.assertEqual(
                (False, True, True), asyncio.run(self._open_link())
            )
            self.assertFalse(asyncio.run(self._open_link_to_unused_address()))
        finally:
            self._stop.set()
            owner.join()

    async def _open_link(self) -> tuple[bool, bool, bool]:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        offer = wire.Offer(b"1", "s", "w", 1)
        try:
            channel = transport.connect("owner", self._address)
            sent_before = channel.send(offer)
            ready = await channel.ready(_TIMEOUT_S)
            return sent_before, ready, channel.send(offer)
        finally:
            await transport.close()

    async def _open_link_to_unused_address(self) -> bool:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        try:
            address = fleet.free_addresses(1)[0]
            return await transport.connect("none", address).ready(0.05)
        finally:
            await transport.close()
