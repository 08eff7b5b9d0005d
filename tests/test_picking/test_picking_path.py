"""Failure detection of paths: silence, failed sends, probes and backoff."""

from __future__ import annotations

import testtools

from sardinedoor_node.picking import path


class PathTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.paths = path.PathMonitor()

    def test_silence_raises_and_any_frame_clears_a_suspicion(self):
        self.paths.request_sent("a", 10.0)
        self.assertFalse(self.paths.is_suspected("a", 10.5))
        self.assertTrue(
            self.paths.is_suspected("a", 10.0 + path.SUSPECT_AFTER_S)
        )
        self.paths.frame_received("a", 11.0)
        self.assertFalse(self.paths.is_suspected("a", 20.0))

    def test_slow_target_does_not_raise_a_suspicion_of_its_owner(self):
        self.paths.request_sent("a", 10.0)
        self.assertEqual([], self.paths.start_due_probes(10.2))
        self.assertEqual(["a"], self.paths.start_due_probes(10.3))
        self.paths.frame_received("a", 10.31)
        self.assertFalse(self.paths.is_suspected("a", 15.0))

    def test_silence_until_the_wait_ended_raises_a_suspicion(self):
        self.paths.request_sent("a", 10.0)
        self.paths.wait_ended("a", 10.0, 10.9)
        self.assertTrue(self.paths.is_suspected("a", 10.9))

    def test_suspected_node_is_probed_with_backoff(self):
        self.paths.request_sent("a", 0.0)
        self.assertTrue(self.paths.is_suspected("a", 1.0))
        times = [n / 10 for n in range(10, 600)]
        probed_at = [t for t in times if self.paths.start_due_probes(t)]
        gaps_s = [b - a for a, b in zip(probed_at, probed_at[1:], strict=False)]
        self.assertTrue(self.paths.is_suspected("a", 60.0))
        self.assertLessEqual(len(probed_at), 10)
        self.assertGreaterEqual(max(gaps_s), 9.9)

    def test_failed_send_on_a_link_that_still_opens_is_ignored(self):
        self.paths.request_sent("a", 1.0)
        self.paths.send_failed("a", 1.0)
        self.assertFalse(self.paths.is_suspected("a", 1.0))
        self.paths.frame_received("a", 1.1)
        self.paths.send_failed("a", 2.0)
        self.assertTrue(self.paths.is_suspected("a", 2.0))
