"""Deduplication of offers in bounded memory."""

from __future__ import annotations

import struct

import testtools

from sardinedoor_node.owner import offerids


def _id(sender: int, counter: int) -> bytes:
    return bytes([sender]) * 16 + struct.pack(">Q", counter)


class OfferDeduplicatorTest(testtools.TestCase):
    def test_an_evicted_id_counts_as_a_duplicate(self):
        offer_ids = offerids.OfferDeduplicator(max_ids=4)
        for counter in range(1, 10):
            self.assertTrue(offer_ids.add(_id(1, counter)))
        for counter in range(1, 10):
            self.assertFalse(offer_ids.add(_id(1, counter)))
        self.assertTrue(offer_ids.add(_id(1, 10)))

    def test_senders_have_separate_counters(self):
        offer_ids = offerids.OfferDeduplicator(max_ids=4)
        for counter in range(1, 10):
            offer_ids.add(_id(1, counter))
        self.assertTrue(offer_ids.add(_id(2, 1)))
        self.assertFalse(offer_ids.add(_id(2, 1)))

    def test_reordered_offers_are_accepted(self):
        offer_ids = offerids.OfferDeduplicator()
        for counter in (5, 3, 4, 1, 2):
            self.assertTrue(offer_ids.add(_id(1, counter)))
