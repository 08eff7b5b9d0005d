"""Offers are taken once, in bounded memory."""

from __future__ import annotations

import struct

import testtools

from sardinedoor_node.owner import seen


def _id(sender: int, counter: int) -> bytes:
    return bytes([sender]) * 16 + struct.pack(">Q", counter)


class SeenOffersTest(testtools.TestCase):
    def test_what_is_forgotten_counts_as_seen(self):
        kept = seen.SeenOffers(recent=4)
        for counter in range(1, 10):
            self.assertTrue(kept.add(_id(1, counter)))
        for counter in range(1, 10):
            self.assertFalse(kept.add(_id(1, counter)))
        self.assertTrue(kept.add(_id(1, 10)))

    def test_senders_do_not_meet(self):
        kept = seen.SeenOffers(recent=4)
        for counter in range(1, 10):
            kept.add(_id(1, counter))
        self.assertTrue(kept.add(_id(2, 1)))
        self.assertFalse(kept.add(_id(2, 1)))

    def test_reordered_offers_are_taken(self):
        kept = seen.SeenOffers()
        for counter in (5, 3, 4, 1, 2):
            self.assertTrue(kept.add(_id(1, counter)))
