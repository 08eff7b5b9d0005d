"""Anti-entropy: immediate in a failure domain, delayed between domains."""

from __future__ import annotations

import asyncio
import logging
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
from sardinedoor_node.published import itemtransfer
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


class _GossipTest(testtools.TestCase):
    """Base class: one node, whose peers' messages the tests deliver."""

    # Epoch that this node and its peers are in.
    epoch = 0

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
        self.replica.apply(published.Update(3, items, True, self.epoch), "peer")
        self._discard_sent()

    def _apply(self, revision: int, items: list[wire.Item]) -> None:
        self.replica.apply(
            published.Update(revision, items, epoch=self.epoch), "store"
        )

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
        self.transport.deliver(
            name, wire.Digest(name, revision, 0, epoch=self.epoch)
        )
        return self.transport.channels[name].drain_types()


class AntiEntropyTest(_GossipTest):
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
            pull = wire.ItemsPull(3, inflates, self.epoch)
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
                _SAME_DOMAIN_LINK, wire.Items(9, 0, False, [item], self.epoch)
            )
            self.assertEqual(3, self.replica.revision)

    def test_other_domain_gets_items_only_on_a_pull(self):
        self.assertEqual(
            [wire.Digest], self._receive_digest(_OTHER_DOMAIN_LINK, 2)
        )
        self.transport.deliver(
            _OTHER_DOMAIN_LINK, wire.ItemsPull(2, epoch=self.epoch)
        )
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


class UnknownEpochTest(AntiEntropyTest):
    """Nodes that know no epoch order their replicas by revision alone."""

    epoch = published.UNKNOWN_EPOCH


class _RestoreTest(_GossipTest):
    """Base class: a node that knows an epoch."""

    epoch = 1

    def _receive(self, name: str, message) -> list:
        """Delivers a message of a peer; returns the answers to it."""
        channel = self.transport.connect(name, name)
        channel.sent.clear()
        self.transport.deliver(name, message)
        return list(channel.sent)

    def _snapshot(self, epoch: int, revision: int, value: bytes) -> wire.Items:
        items = [wire.Item("c", revision, value)]
        return wire.Items(revision, 0, True, items, epoch)

    def _version(self) -> tuple[int, int]:
        version = self.replica.version
        return version.epoch, version.revision


class RestoreTest(_RestoreTest):
    """The store was restored: its epoch rose, and its revisions went back."""

    def test_cut_off_node_learns_the_restore_from_a_peer_of_its_domain(self):
        digest = wire.Digest(_SAME_DOMAIN_LINK, 2, 0, epoch=2)
        (pull,) = self._receive(_SAME_DOMAIN_LINK, digest)
        self.assertEqual((1, 3), (pull.epoch, pull.revision))
        self._receive(_SAME_DOMAIN_LINK, self._snapshot(2, 2, b"7"))
        self.assertEqual((2, 2), self._version())
        self.assertEqual(0.0, self.replica.contact_age_s)

    def test_cut_off_node_learns_the_restore_from_another_domain(self):
        digest = wire.Digest(_OTHER_DOMAIN_LINK, 2, 0, epoch=2)
        self.assertEqual([], self._receive(_OTHER_DOMAIN_LINK, digest))
        self._run_round()
        types = self.transport.channels[_OTHER_DOMAIN_LINK].drain_types()
        self.assertIn(wire.ItemsPull, types)

    def test_peer_that_missed_the_restore_gets_a_snapshot(self):
        """Its revision is higher, so it overwrote the restored items."""
        digest = wire.Digest(_SAME_DOMAIN_LINK, 99, 0, epoch=0)
        (items,) = self._receive(_SAME_DOMAIN_LINK, digest)
        self.assertTrue(items.whole)
        self.assertEqual((1, 3), (items.epoch, items.revision))
        self.assertEqual(3, len(items.items))

    def test_peer_of_another_domain_that_missed_the_restore_gets_a_digest(self):
        digest = wire.Digest(_OTHER_DOMAIN_LINK, 99, 0, epoch=0)
        (answer,) = self._receive(_OTHER_DOMAIN_LINK, digest)
        self.assertEqual((1, 3), (answer.epoch, answer.revision))
        pull = wire.ItemsPull(99, True, 0)
        (items,) = self._receive(_OTHER_DOMAIN_LINK, pull)
        self.assertTrue(items.whole)

    def test_items_from_before_the_restore_confirm_nothing(self):
        self.time.now_s += 5.0
        age_s = self.replica.contact_age_s
        for revision in (3, 99):
            for whole in (True, False):
                items = self._snapshot(0, revision, b"7")
                items.whole = whole
                self._receive(_SAME_DOMAIN_LINK, items)
                self.assertEqual((1, 3), self._version())
                self.assertIsNone(self.replica.configuration)
                self.assertEqual(age_s, self.replica.contact_age_s)

    def test_late_digest_of_another_domain_from_before_is_not_pulled(self):
        digest = wire.Digest(_OTHER_DOMAIN_LINK, 9, 0, epoch=1)
        self.assertEqual([], self._receive(_OTHER_DOMAIN_LINK, digest))
        self._receive(_SAME_DOMAIN_LINK, self._snapshot(2, 2, b"7"))
        self._discard_sent()
        self._run_round()
        types = self.transport.channels[_OTHER_DOMAIN_LINK].drain_types()
        self.assertNotIn(wire.ItemsPull, types)

    def test_large_item_is_sent_as_it_was_written_after_the_restore(self):
        """The one from before has the same revision, and was sent instead."""
        channel = self.transport.connect(_SAME_DOMAIN_LINK, "")
        pull = wire.ItemsPull(0, True, 0)
        for epoch in (1, 2):
            value = str(epoch).encode() * 4_000
            items = wire.Items(
                4, 0, True, [wire.Item("c", 4, value)], epoch=epoch
            )
            self._receive(_OTHER_DOMAIN_LINK, items)
            channel.sent.clear()
            self.transport.deliver(_SAME_DOMAIN_LINK, pull)
            (answer,) = channel.sent
            (item,) = answer.items
            self.assertEqual(value, compression.inflate(item).unwrap().value)


class RollingUpgradeTest(_RestoreTest):
    """Peers that don't know epochs run an older version of the program."""

    def test_items_of_an_older_program_are_never_used(self):
        records: list[logging.LogRecord] = []
        handler = logging.Handler()
        handler.emit = records.append
        logger = logging.getLogger(itemtransfer.__name__)
        level = logger.level
        logger.setLevel(logging.INFO)
        logger.addHandler(handler)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, handler)
        self.time.now_s += 5.0
        age_s = self.replica.contact_age_s
        for revision in (3, 4, 99):
            for whole in (True, False):
                items = self._snapshot(published.UNKNOWN_EPOCH, revision, b"7")
                items.whole = whole
                answers = self._receive(_SAME_DOMAIN_LINK, items)
                self.assertEqual([], answers)
            digest = wire.Digest(_SAME_DOMAIN_LINK, revision, 0)
            self.assertEqual([], self._receive(_SAME_DOMAIN_LINK, digest))
        self.assertEqual((1, 3), self._version())
        self.assertIsNone(self.replica.configuration)
        self.assertEqual(age_s, self.replica.contact_age_s)
        self.assertEqual(1, len(records))

    def test_older_program_is_told_of_a_greater_revision_and_pulls(self):
        """It ignores what isn't greater, so a snapshot would be wasted."""
        for name in (_SAME_DOMAIN_LINK, _OTHER_DOMAIN_LINK):
            for ask in (False, True):
                digest = wire.Digest(name, 2, 0, ask=ask)
                (answer,) = self._receive(name, digest)
                self.assertIsInstance(answer, wire.Digest)
                self.assertEqual(3, answer.revision)
            (items,) = self._receive(name, wire.ItemsPull(2))
            self.assertTrue(items.whole)
            self.assertEqual(3, len(items.items))

    def test_node_without_an_epoch_gets_a_snapshot_at_any_revision(self):
        """It was filled by nodes of the older program, and pulls by epoch."""
        (items,) = self._receive(_SAME_DOMAIN_LINK, wire.ItemsPull(99))
        self.assertTrue(items.whole)
        self.assertEqual(1, items.epoch)

    def test_node_without_an_epoch_takes_that_of_a_peer(self):
        replica = catalog.Catalog(
            textitems.TextDecoder(), self.time, metrics.Metrics()
        )
        transport = _Transport()
        antientropy.AntiEntropy(
            _OWN_LINK,
            "a",
            replica,
            fleet.PublishedDirectory(_OWN_LINK, replica, self.time),
            transport,
            self.time,
            random.Random(1),
            metrics.Metrics(),
        )
        old = self._snapshot(published.UNKNOWN_EPOCH, 99, b"7")
        transport.deliver(_SAME_DOMAIN_LINK, old)
        self.assertEqual(99, replica.version.revision)
        digest = wire.Digest(_SAME_DOMAIN_LINK, 3, 0, epoch=1)
        transport.deliver(_SAME_DOMAIN_LINK, digest)
        pull = transport.channels[_SAME_DOMAIN_LINK].sent[-1]
        self.assertEqual((-1, 99), (pull.epoch, pull.revision))
        transport.deliver(_SAME_DOMAIN_LINK, self._snapshot(1, 3, b"8"))
        self.assertEqual(published.Version(1, 3), replica.version)
        self.assertEqual(8, replica.configuration.version)
