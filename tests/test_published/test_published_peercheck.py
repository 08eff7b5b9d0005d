"""A node that starts uses its copy of the store once a peer has spoken."""

from __future__ import annotations

import logging

import testtools

from sardinedoor_node import published
from sardinedoor_node.published import peercheck
from sardinedoor_schema.generated import wire
from sardinedoor_standins import gossipsim

_UNKNOWN = published.UNKNOWN_EPOCH
_ROUND_TRIP_S = gossipsim.ROUND_TRIP_S


class PeerCheckTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.nodes = gossipsim.Nodes()
        self.addCleanup(self.nodes.timeline.close)

    def _start_waiting(
        self, domain: str, version: tuple[int, int]
    ) -> gossipsim.Node:
        self.nodes.start_waiting(domain, version)
        return self.nodes.nodes[-1]

    def _start_alone(self) -> gossipsim.Node:
        """Starts a node at (1, 9) that reaches no peer."""
        self.nodes.start("a")
        self.nodes.cut(gossipsim.link_of(2))
        return self._start_waiting("a", (1, 9))

    def test_peer_at_the_same_version_confirms_the_copy_at_once(self):
        for domains in ("aab", "bb"):
            self.nodes.start(domains)
            node = self._start_waiting("a", (1, 9))
            self.assertLess(self.nodes.run_until_used(node), _ROUND_TRIP_S)

    def test_what_peers_retain_is_merged_before_the_copy_is_used(self):
        """A withdrawn key was in force on a node that started."""
        for domains in ("aab", "bb"):
            for revision in (7, 9, 12):
                for node in self.nodes.start(domains):
                    node.keep("x")
                node = self._start_waiting("a", (1, revision))
                taken_s = self.nodes.run_until_used(node)
                self.assertLess(taken_s, 2 * _ROUND_TRIP_S, domains)
                self.assertEqual(["x"], node.kept)

    def test_peer_that_is_ahead_confirms_the_copy_only_with_its_items(self):
        """What the copy lacks was written again, so the peer retains nothing."""
        self.nodes.start("aa", (1, 12))
        node = self._start_waiting("a", (1, 9))
        self.nodes.run_until_used(node)
        self.assertEqual(12, node.replica.revision)

    def test_peer_of_an_older_epoch_gets_the_copy_and_then_confirms_it(self):
        """It hasn't learned of the restore, and has what the copy lacks."""
        for domains in ("aa", "bb"):
            for kept in ({}, gossipsim.retained("x")):
                peers = self.nodes.start(domains, (1, 99))
                for peer in peers:
                    peer.replica.kept_on_restore = kept
                node = self._start_waiting("a", (2, 9))
                taken_s = self.nodes.run_until_used(node)
                self.assertLess(taken_s, 3 * _ROUND_TRIP_S)
                self.assertEqual(list(kept), node.kept)
                self.assertIn((2, 9), [_version(peer) for peer in peers])

    def test_peer_of_an_older_epoch_is_asked_again_once(self):
        """It need not announce that it has taken the copy."""
        node = self._start_alone()
        digest = wire.Digest("", 99, 0, epoch=0)
        items, asked = self.nodes.answers(node, digest)
        self.assertTrue(items.whole)
        self.assertTrue(asked.ask)
        self.assertEqual([], self.nodes.answers(node, digest))

    def test_peer_of_a_later_epoch_replaces_the_copy(self):
        for domains in ("aa", "bb"):
            for peer in self.nodes.start(domains, (3, 9)):
                peer.keep("x")
            node = self._start_waiting("a", (2, 99))
            taken_s = self.nodes.run_until_used(node)
            self.assertLess(taken_s, 2 * _ROUND_TRIP_S)
            self.assertEqual((3, 9), _version(node))
            self.assertEqual(["x"], node.kept)

    def test_node_without_peers_uses_the_copy_at_once(self):
        node = self._start_waiting("a", (1, 9))
        self.assertFalse(node.replica.awaits_peers)

    def test_copy_is_used_after_the_limit_if_no_peer_answers(self):
        records: list[logging.LogRecord] = []
        handler = logging.Handler()
        handler.emit = records.append
        logger = logging.getLogger(peercheck.__name__)
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        node = self._start_alone()
        taken_s = self.nodes.run_until_used(node)
        self.assertAlmostEqual(peercheck.PEER_WAIT_S, taken_s, delta=0.01)
        self.assertEqual(["no peer has answered in time"], node.replica.reasons)
        self.assertEqual(1, len(records))

    def test_lost_message_is_sent_again_within_the_limit(self):
        self.nodes.start("a")
        self.nodes.network.cut(gossipsim.link_of(2), gossipsim.link_of(1), 0.05)
        node = self._start_waiting("a", (1, 9))
        taken_s = self.nodes.run_until_used(node)
        self.assertLess(taken_s, peercheck.PEER_WAIT_S)
        self.assertEqual(["a peer has confirmed it"], node.replica.reasons)

    def test_empty_and_older_peers_confirm_nothing(self):
        node = self._start_alone()
        for digest in (
            wire.Digest("", 0, 0, epoch=_UNKNOWN),
            wire.Digest("", 9, 0, epoch=_UNKNOWN),
            wire.Digest("", 0, 0, epoch=1),
            wire.Digest("", 99, 0, epoch=0),
        ):
            self.nodes.answers(node, digest)
            self.assertTrue(node.replica.awaits_peers, digest)
        for items in (
            wire.Items(9, 0, True, [], _UNKNOWN),
            wire.Items(99, 0, True, [], 0),
        ):
            self.nodes.answers(node, items)
            self.assertTrue(node.replica.awaits_peers, items)

    def test_starting_nodes_do_not_confirm_each_other(self):
        """They have read the same copy."""
        self.nodes.start_waiting("aab", (1, 9))
        self.nodes.run(peercheck.PEER_WAIT_S - 0.05)
        replicas = [node.replica for node in self.nodes.nodes]
        self.assertTrue(all(replica.awaits_peers for replica in replicas))
        self.nodes.run(0.5)
        self.assertFalse(any(replica.awaits_peers for replica in replicas))

    def test_digest_of_a_node_that_waits_shows_no_copy(self):
        node = self._start_alone()
        node.keep("x")
        (answer,) = self.nodes.answers(
            node, wire.Digest("", 0, 0, ask=True, epoch=_UNKNOWN)
        )
        self.assertEqual((_UNKNOWN, 0), (answer.epoch, answer.revision))
        self.assertEqual(0, answer.retained)
        # It would confirm an empty replica.
        self.assertGreater(answer.contact_ms, 1e8)

    def test_node_that_waits_makes_no_loop_of_messages(self):
        """Its peers answer a digest that shows no copy by their own."""
        for version in ((_UNKNOWN, 5), (_UNKNOWN, 99), (0, 99), (1, 5)):
            for peer in self.nodes.start("bbb", version):
                peer.replica.takes_updates = False
                peer.keep("y")
            self._start_waiting("a", (1, 9))
            self.nodes.run(peercheck.PEER_WAIT_S)
            self.assertLess(len(self.nodes.sent), 60, version)

    def test_digests_go_to_a_few_peers_and_to_another_domain(self):
        self.nodes.start("a" * 20 + "b" * 20)
        node = self._start_waiting("a", (1, 9))
        asks = [
            message
            for message in self.nodes.sent
            if isinstance(message, wire.Digest) and message.ask
        ]
        self.assertEqual(4, len(asks))
        self.assertTrue(all(message.link == node.link for message in asks))


def _version(node: gossipsim.Node) -> tuple[int, int]:
    version = node.replica.version
    return version.epoch, version.revision
