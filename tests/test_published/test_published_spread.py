"""Copies are compared and handed over, across failure domains only late."""

from __future__ import annotations

import asyncio
import random

import testtools

from sardinedoor_node import link
from sardinedoor_node import published
from sardinedoor_node.published import catalog
from sardinedoor_node.published import fleet
from sardinedoor_node.published import spread
from sardinedoor_schema.generated import wire
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime

_OWN = "10.0.0.1:7"
_NEAR = "10.0.0.2:7"
_FAR = "10.0.0.3:7"


class _Channel(link.Channel):
    def __init__(self) -> None:
        self.sent: list = []

    def send(self, message) -> bool:
        self.sent.append(message)
        return True

    def kinds(self) -> list[type]:
        """Empties the channel and lists what was sent."""
        found = [type(message) for message in self.sent]
        self.sent.clear()
        return found


class _Transport(link.Transport):
    def __init__(self) -> None:
        self.channels: dict[str, _Channel] = {}
        self.receivers: dict = {}

    def connect(self, name: str, address: str) -> _Channel:
        return self.channels.setdefault(name, _Channel())

    def on_message(self, cls, receiver) -> None:
        self.receivers[cls] = receiver

    async def close(self, linger_ms: int) -> None:
        pass

    def take(self, name: str, message) -> None:
        """Hands on what a peer sends."""
        self.receivers[type(message)](self.connect(name, name), message)


def _entry(revision: int, address: str, domain: str) -> wire.Item:
    value = f"{address.replace(':7', ':80')}/pay/1/ready/{domain}"
    return wire.Item(f"w/{address}", revision, value.encode())


class SpreadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.time = virtualtime.ManualClock()
        self.copy = catalog.Catalog(textitems.TextDecoder(), self.time)
        self.transport = _Transport()
        self.spread = spread.Spread(
            _OWN,
            "a",
            self.copy,
            fleet.PublishedDirectory(_OWN, self.copy, self.time),
            self.transport,
            self.time,
            random.Random(1),
        )
        peers = ((_OWN, "a"), (_NEAR, "a"), (_FAR, "b"))
        items = [
            _entry(number, address, domain)
            for number, (address, domain) in enumerate(peers, 1)
        ]
        self._take(3, items)
        self._clear()

    def _take(self, revision: int, items: list[wire.Item]) -> None:
        self.copy.take(published.Changes(revision, items), "store")

    def _clear(self) -> None:
        for channel in self.transport.channels.values():
            channel.sent.clear()

    def _turn(self) -> None:
        async def run() -> None:
            task = asyncio.create_task(self.spread.run())
            for _ in range(3):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())

    def _digest(self, name: str, revision: int) -> list[type]:
        self.transport.take(name, wire.Digest(name, revision, 0))
        return self.transport.channels[name].kinds()

    def test_a_near_peer_hands_over_and_is_asked_at_once(self):
        self.assertEqual([wire.ItemsPull], self._digest(_NEAR, 9))
        self.assertEqual([wire.Items], self._digest(_NEAR, 2))

    def test_a_far_peer_hands_over_only_when_asked(self):
        self.assertEqual([wire.Digest], self._digest(_FAR, 2))
        self.transport.take(_FAR, wire.ItemsPull(2))
        self.assertEqual([wire.Items], self.transport.channels[_FAR].kinds())

    def test_a_far_peer_is_asked_for_what_near_ones_do_not_bring(self):
        self.assertEqual([], self._digest(_FAR, 9))
        self._turn()
        self.assertIn(wire.ItemsPull, self.transport.channels[_FAR].kinds())

    def test_a_far_peer_is_not_asked_for_what_near_ones_brought(self):
        self.assertEqual([], self._digest(_FAR, 9))
        self._take(9, [wire.Item("c", 9, b"1")])
        self._clear()
        self._turn()
        kinds = self.transport.channels[_FAR].kinds()
        self.assertNotIn(wire.ItemsPull, kinds)
