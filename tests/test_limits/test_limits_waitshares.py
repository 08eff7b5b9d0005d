"""Share of the longest wait that requests may expect to wait."""

from __future__ import annotations

import testtools

from sardinedoor_node.limits import waitshares


class WaitSharesTest(testtools.TestCase):
    def test_waits_in_vain_lower_the_share_of_their_priority_only(self):
        shares = waitshares.WaitShares()
        for _ in range(10):
            shares.wait_ended(7, False)
            shares.wait_ended(8, True)
        self.assertEqual(1.0, shares.share(8))
        self.assertLess(shares.share(7), 0.1)
        self.assertGreater(shares.share(7), 0.0)
        for _ in range(100):
            shares.wait_ended(7, True)
        self.assertEqual(1.0, shares.share(7))
