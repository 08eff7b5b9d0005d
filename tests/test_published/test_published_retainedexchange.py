"""Nodes at the same version come to retain the same items."""

from __future__ import annotations

import testtools

from sardinedoor_node import published
from sardinedoor_node.published import antientropy
from sardinedoor_schema.generated import wire
from sardinedoor_standins import gossipsim


def _types(messages: list) -> list[type]:
    return [type(message) for message in messages]


class RetainedExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.nodes = gossipsim.Nodes()
        self.addCleanup(self.nodes.timeline.close)

    def _start_one(self, epoch: int = 1) -> gossipsim.Node:
        (node,) = self.nodes.start("a", (epoch, 9))
        return node

    def test_nodes_at_the_same_version_come_to_retain_the_same(self):
        for domains in ("aa", "ab"):
            one, two = self.nodes.start(domains)
            one.keep("x")
            two.keep("y")
            self.nodes.run(1.0)
            self.assertEqual(["x", "y"], one.kept)
            self.assertEqual(["x", "y"], two.kept)
            self.nodes.sent.clear()
            self.nodes.run(5.0)
            self.assertEqual(0, self.nodes.count(wire.Items, wire.ItemsPull))

    def test_node_that_retains_nothing_gets_what_others_retain(self):
        """It would use what the restored store has again."""
        nodes = self.nodes.start("aaabbb")
        nodes[0].keep("x")
        self.nodes.run(2.0)
        for node in nodes:
            self.assertEqual(["x"], node.kept)
        self.assertLess(self.nodes.count(wire.Items), 20)

    def test_exchange_with_another_domain_is_not_delayed(self):
        one, _ = self.nodes.start("ab")
        one.keep("x")
        digest = wire.Digest("", 9, 0, inflates=True, epoch=1, retained=7)
        answers = self.nodes.answers(one, digest)
        self.assertEqual([wire.Items, wire.ItemsPull], _types(answers))
        self.assertEqual([], answers[0].items)
        self.assertEqual(["x"], [r.item.key for r in answers[0].retained])

    def test_pull_at_the_same_version_gets_what_is_retained(self):
        node = self._start_one()
        node.keep("x")
        for pull, expected in (
            (wire.ItemsPull(9, True, 1, 7), [wire.Items]),
            (wire.ItemsPull(11, True, 1, 7), [wire.Items]),
            (wire.ItemsPull(9, True, 1, node.replica.retained_checksum), []),
            (wire.ItemsPull(9, True, 2, 7), []),
        ):
            answers = self.nodes.answers(node, pull)
            self.assertEqual(expected, _types(answers), pull)
            for items in answers:
                # A later revision would hide the changes in between.
                self.assertEqual(9, items.revision)

    def test_changes_bear_what_is_retained_unless_the_peer_has_it(self):
        node = self._start_one()
        node.keep("x")
        own = node.replica.retained_checksum
        change = published.Update(10, [wire.Item("c", 10, b"1")], epoch=1)
        node.replica.apply(change, "store")
        for epoch, retained, expected in (
            (1, 0, ["x"]),
            (1, 7, ["x"]),
            (1, own, []),
            (0, 0, ["x"]),
        ):
            pull = wire.ItemsPull(9, True, epoch, retained)
            (items,) = self.nodes.answers(node, pull)
            self.assertEqual(epoch != 1, items.whole)
            self.assertEqual(expected, [r.item.key for r in items.retained])

    def test_retained_items_of_another_epoch_are_not_merged(self):
        node = self._start_one(2)
        kept = list(gossipsim.retained("x").values())
        for epoch in (1, published.UNKNOWN_EPOCH):
            self.nodes.answers(node, wire.Items(99, 0, True, [], epoch, kept))
            self.assertEqual([], node.kept)

    def test_node_that_begins_to_retain_tells_the_sender(self):
        """Otherwise the sender learns it only in a later round."""
        node = self._start_one()
        node.replica.kept_on_restore = gossipsim.retained("x")
        items = wire.Items(3, 0, True, [], 2)
        (answer,) = self.nodes.answers(node, items)
        self.assertIsInstance(answer, wire.Digest)
        self.assertEqual((2, 3), (answer.epoch, answer.revision))
        self.assertEqual(node.replica.retained_checksum, answer.retained)

    def test_nodes_that_never_agree_exchange_no_more_than_once_a_digest(self):
        nodes = self.nodes.start("aa")
        for node, key in zip(nodes, "xy", strict=True):
            node.keep(key)
            node.replica.merges = False
        self.nodes.run(6.0)
        digests = self.nodes.count(wire.Digest)
        self.assertLess(digests, 6.0 / antientropy.GOSSIP_INTERVAL_S * 3)
        self.assertLessEqual(
            self.nodes.count(wire.Items, wire.ItemsPull), 3 * digests
        )

    def test_large_retained_items_are_compressed_for_peers_that_read_them(self):
        value = b"0" * 4_000
        for inflates in (True, False):
            node = self._start_one()
            node.keep("x", value=value)
            pull = wire.ItemsPull(9, inflates, 1)
            (items,) = self.nodes.answers(node, pull)
            self.assertEqual(inflates, items.retained[0].item.deflated)
            node = self._start_one()
            self.nodes.answers(node, items)
            self.assertEqual(value, node.replica.kept["x"].item.value)

    def test_message_with_a_retained_item_that_cannot_be_read_is_refused(self):
        node = self._start_one()
        kept = wire.Item("x", 1, b"?", deflated=True)
        items = wire.Items(12, 0, True, [], 1, [wire.RetainedItem(kept, 0)])
        self.nodes.answers(node, items)
        self.assertEqual(published.Version(1, 9), node.replica.version)
        self.assertEqual([], node.kept)
