"""Anti-entropy: immediate in a failure domain, delayed between domains."""

from __future__ import annotations

import asyncio
import random
import zlib

import testtools

from sardinedoor_node import link
from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import antientropy
from sardinedoor_node.published import catalog
from sardinedoor_node.published import compression
from sardinedoor_node.published import fleet
from sardinedoor_schema.generated import wire
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime

_OWN_LINK = "10.0.0.1:7"
_SAME_DOMAIN_LINK = "10.0.0.2:7"
_OTHER_DOMAIN_LINK = "10.0.0.3:7"


class _Channel(link.Channel):
    def __init__(self) -> None:
        self.sent: list = []

    def send(self, message) -> bool:
        self.sent.append(message)
        return True

    def drain_types(self) -> list[type]:
        """Returns the types of the messages sent, and forgets the messages."""
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

    def deliver(self, name: str, message) -> None:
        """Delivers a message from a peer to its receiver."""
        self.receivers[type(message)](self.connect(name, name), message)


def _entry(revision: int, address: str, domain: str) -> wire.Item:
    value = f"{address.replace(':7', ':80')}/pay/1/ready/{domain}"
    return wire.Item(f"w/{address}", revision, value.encode())


class AntiEntropyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.time = virtualtime.ManualClock()
        self.replica = catalog.Catalog(
            textitems.TextDecoder(), self.time, metrics.Metrics()
        )
        self.transport = _Transport()
        self.anti_entropy = antientropy.AntiEntropy(
            _OWN_LINK,
            "a",
            self.replica,
            fleet.PublishedDirectory(_OWN_LINK, self.replica, self.time),
            self.transport,
            self.time,
            random.Random(1),
            metrics.Metrics(),
        )
        peers = (
            (_OWN_LINK, "a"),
            (_SAME_DOMAIN_LINK, "a"),
            (_OTHER_DOMAIN_LINK, "b"),
        )
        items = [
            _entry(number, address, domain)
            for number, (address, domain) in enumerate(peers, 1)
        ]
        self._apply(3, items)
        self._discard_sent()

    def _apply(self, revision: int, items: list[wire.Item]) -> None:
        self.replica.apply(published.Update(revision, items), "store")

    def _discard_sent(self) -> None:
        for channel in self.transport.channels.values():
            channel.sent.clear()

    def _run_round(self) -> None:
        async def run() -> None:
            task = asyncio.create_task(self.anti_entropy.run())
            for _ in range(3):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())

    def _receive_digest(self, name: str, revision: int) -> list[type]:
        self.transport.deliver(name, wire.Digest(name, revision, 0))
        return self.transport.channels[name].drain_types()

    def test_planned_stop_is_announced_to_peers_that_are_silent_too(self):
        self.time.now_s += 600.0
        self.anti_entropy.leaving = True
        self.anti_entropy.announce()
        for name in (_SAME_DOMAIN_LINK, _OTHER_DOMAIN_LINK):
            (digest,) = self.transport.channels[name].sent
            self.assertTrue(digest.leaving)

    def test_same_domain_transfers_items_at_once(self):
        self.assertEqual(
            [wire.ItemsPull], self._receive_digest(_SAME_DOMAIN_LINK, 9)
        )
        self.assertEqual(
            [wire.Items], self._receive_digest(_SAME_DOMAIN_LINK, 2)
        )

    def test_items_are_pulled_from_one_peer_at_a_time(self):
        first = self._receive_digest(_SAME_DOMAIN_LINK, 9)
        self.assertEqual([wire.ItemsPull], first)
        self.assertEqual([], self._receive_digest(_SAME_DOMAIN_LINK, 9))
        self.assertEqual(
            [wire.ItemsPull], self._receive_digest(_SAME_DOMAIN_LINK, 10)
        )
        self.time.now_s += antientropy.PULL_TIMEOUT_S
        self.assertEqual(
            [wire.ItemsPull], self._receive_digest(_SAME_DOMAIN_LINK, 10)
        )

    def test_large_items_are_compressed_for_peers_that_read_them(self):
        value = b"0" * 3_999 + b"1"
        self._apply(4, [wire.Item("c", 4, value)])
        self._discard_sent()
        channel = self.transport.connect(_SAME_DOMAIN_LINK, "")
        for inflates in (True, False):
            pull = wire.ItemsPull(3, inflates=inflates)
            self.transport.deliver(_SAME_DOMAIN_LINK, pull)
            (message,) = channel.sent
            self.assertEqual(inflates, message.items[0].deflated)
            if inflates:
                self.assertLess(len(message.items[0].value), 200)
            inflated = compression.inflate(message.items[0]).unwrap()
            self.assertEqual(value, inflated.value)
            channel.sent.clear()

    def test_items_that_cannot_be_inflated_leave_the_replica_unchanged(self):
        bomb = zlib.compress(bytes(compression.MAX_INFLATED_BYTES + 1))
        for value in (b"?", zlib.compress(b"2")[:-1], bomb):
            item = wire.Item("c", 9, value, deflated=True)
            self.transport.deliver(
                _SAME_DOMAIN_LINK, wire.Items(9, 0, False, [item])
            )
            self.assertEqual(3, self.replica.revision)

    def test_other_domain_gets_items_only_on_a_pull(self):
        self.assertEqual(
            [wire.Digest], self._receive_digest(_OTHER_DOMAIN_LINK, 2)
        )
        self.transport.deliver(_OTHER_DOMAIN_LINK, wire.ItemsPull(2))
        self.assertEqual(
            [wire.Items],
            self.transport.channels[_OTHER_DOMAIN_LINK].drain_types(),
        )

    def test_other_domain_is_pulled_from_if_the_own_one_is_behind(self):
        self.assertEqual([], self._receive_digest(_OTHER_DOMAIN_LINK, 9))
        self._run_round()
        self.assertIn(
            wire.ItemsPull,
            self.transport.channels[_OTHER_DOMAIN_LINK].drain_types(),
        )

    def test_other_domain_is_not_pulled_from_if_the_own_one_caught_up(self):
        self.assertEqual([], self._receive_digest(_OTHER_DOMAIN_LINK, 9))
        self._apply(9, [wire.Item("c", 9, b"1")])
        self._discard_sent()
        self._run_round()
        types = self.transport.channels[_OTHER_DOMAIN_LINK].drain_types()
        self.assertNotIn(wire.ItemsPull, types)
