"""Silence of an owner is no evidence against its targets."""

from __future__ import annotations

import testtools

from sardinedoor_node.picking import path


class PathTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.paths = path.PathEvidence()

    def test_silence_suspects_and_any_frame_clears(self):
        self.paths.sent("a", 10.0)
        self.assertFalse(self.paths.suspected("a", 10.5))
        self.assertTrue(self.paths.suspected("a", 10.0 + path.SILENCE_S))
        self.paths.heard("a", 11.0)
        self.assertFalse(self.paths.suspected("a", 20.0))

    def test_a_slow_target_behind_an_owner_that_answers(self):
        self.paths.sent("a", 10.0)
        self.assertEqual([], self.paths.to_ask(10.2))
        self.assertEqual(["a"], self.paths.to_ask(10.3))
        self.paths.heard("a", 10.31)
        self.assertFalse(self.paths.suspected("a", 15.0))

    def test_silence_counts_after_the_attempt_was_given_up(self):
        self.paths.sent("a", 10.0)
        self.paths.ended("a", 10.0, 10.9)
        self.assertTrue(self.paths.suspected("a", 10.9))

    def test_asks_a_suspect_less_and_less(self):
        self.paths.sent("a", 0.0)
        self.assertTrue(self.paths.suspected("a", 1.0))
        steps = [n / 10 for n in range(10, 600)]
        asked = [t for t in steps if self.paths.to_ask(t)]
        gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
        self.assertTrue(self.paths.suspected("a", 60.0))
        self.assertLessEqual(len(asked), 10)
        self.assertGreaterEqual(max(gaps), 9.9)

    def test_a_link_that_opens_is_not_suspected(self):
        self.paths.sent("a", 1.0)
        self.paths.refused("a", 1.0)
        self.assertFalse(self.paths.suspected("a", 1.0))
        self.paths.heard("a", 1.1)
        self.paths.refused("a", 2.0)
        self.assertTrue(self.paths.suspected("a", 2.0))
