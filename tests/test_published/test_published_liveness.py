"""Peers that answer, and those of which only the entry is left."""

from __future__ import annotations

import testtools

from sardinedoor_node.published import liveness
from sardinedoor_standins import virtualtime


class PeerLivenessTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = virtualtime.ManualClock()
        self.liveness = liveness.PeerLiveness(self.clock)

    def _live(self, names: str) -> str:
        return "".join(self.liveness.live(list(names)))

    def test_entry_without_a_node_counts_only_for_a_while(self):
        self.liveness.list_peers("ab")
        self.assertEqual("ab", self._live("ab"))
        self.clock.now_s += 29.0
        self.liveness.heard("a")
        self.liveness.list_peers("ab")
        self.clock.now_s += 2.0
        self.assertEqual("a", self._live("ab"))
        self.assertEqual(["b"], self.liveness.silent(["a", "b"]))

    def test_silent_peer_counts_again_once_it_is_heard(self):
        self.liveness.list_peers("a")
        self.clock.now_s += 60.0
        self.assertEqual("", self._live("a"))
        self.liveness.heard("a")
        self.assertEqual("a", self._live("a"))

    def test_leaving_peer_is_silent_at_once(self):
        self.liveness.list_peers("ab")
        self.liveness.heard("a")
        self.liveness.left("a")
        self.assertEqual("b", self._live("ab"))

    def test_peers_of_a_large_domain_may_be_silent_for_longer(self):
        names = [f"p{number}" for number in range(100)]
        self.liveness.list_peers(names)
        for name in names:
            self.liveness.heard(name)
        self.clock.now_s += 100.0
        self.assertEqual(names, self.liveness.live(names))

    def test_unlisted_peers_are_forgotten(self):
        for number in range(1_000):
            name = f"p{number}"
            self.liveness.list_peers([name])
            self.liveness.heard(name)
        self.assertEqual(1, len(self.liveness._heard_at))
