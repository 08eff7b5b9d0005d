"""The ZeroMQ transport on loopback."""

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
_STALL_S = 20.0
_PAUSE_S = 0.002
_SEED = 1


class ZeromqTransportTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._address = fleet.free_addresses(1)[0]
        self._stop = threading.Event()

    def test_no_reply_is_left_unread_while_others_are_sent(self):
        owner = threading.Thread(target=asyncio.run, args=(self._serve(),))
        owner.start()
        try:
            asyncio.run(self._ask())
        finally:
            self._stop.set()
            owner.join()

    def test_a_closed_link_refuses_at_once(self):
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

    async def _ask(self) -> None:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        replies = asyncio.Semaphore(0)
        transport.on_message(
            wire.Refusal, lambda channel, message: replies.release()
        )
        channel = transport.connect("owner", self._address)
        offer = wire.Offer(b"1", "s", "w", 1)
        rng = random.Random(_SEED)
        try:
            async with asyncio.timeout(_STALL_S):
                while not channel.send(offer):
                    await asyncio.sleep(0.01)
                await replies.acquire()
                for _ in range(_ROUNDS):
                    await self._round(channel, offer, rng, replies)
        finally:
            await transport.close()

    async def _round(self, channel, offer, rng, replies) -> None:
        self.assertTrue(channel.send(offer))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # The first reply arrives while this thread isn't in the event loop.
        time.sleep(rng.random() * _PAUSE_S)
        self.assertTrue(channel.send(offer))
        await replies.acquire()
        await replies.acquire()

    def test_a_new_link_is_awaited(self):
        owner = threading.Thread(target=asyncio.run, args=(self._serve(),))
        owner.start()
        try:
            self.assertEqual((False, True, True), asyncio.run(self._open()))
            self.assertFalse(asyncio.run(self._open_to_nobody()))
        finally:
            self._stop.set()
            owner.join()

    async def _open(self) -> tuple[bool, bool, bool]:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        offer = wire.Offer(b"1", "s", "w", 1)
        try:
            channel = transport.connect("owner", self._address)
            early = channel.send(offer)
            ready = await channel.ready(_STALL_S)
            return early, ready, channel.send(offer)
        finally:
            await transport.close()

    async def _open_to_nobody(self) -> bool:
        transport = zeromq.ZeromqTransport("ingress", metrics.Metrics())
        try:
            address = fleet.free_addresses(1)[0]
            return await transport.connect("none", address).ready(0.05)
        finally:
            await transport.close()
