"""Deduplication of offers by id."""

from __future__ import annotations

import collections
import struct

_COUNTER_BYTES = 8
_MAX_IDS = 8_192
_MAX_SENDERS = 4_096


class OfferDeduplicator:
    """Ids of the offers received so far, in bounded memory.

    An id is the sender's incarnation followed by a counter. The most recent
    ids are stored individually. For each sender, all counters up to the
    highest evicted one count as received.
    """

    def __init__(
        self, max_ids: int = _MAX_IDS, max_senders: int = _MAX_SENDERS
    ):
        """Starts empty.

        Args:
            max_ids: Largest number of ids stored individually.
            max_senders: Largest number of senders for which the highest
                evicted counter is stored.
        """
        self._max_ids = max_ids
        self._max_senders = max_senders
        self._ids: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._evicted_counters: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def add(self, exchange_id: bytes) -> bool:
        """Records an id.

        Args:
            exchange_id: Id of an offer, or of a cancel that overtook it.

        Returns:
            False if the id was or may have been recorded before.
        """
        incarnation, counter = _split(exchange_id)
        if counter <= self._evicted_counters.get(incarnation, -1):
            return False
        if exchange_id in self._ids:
            return False
        self._ids[exchange_id] = None
        if len(self._ids) > self._max_ids:
            self._evict_oldest()
        return True

    def _evict_oldest(self) -> None:
        oldest, _ = self._ids.popitem(last=False)
        incarnation, counter = _split(oldest)
        evicted = self._evicted_counters.pop(incarnation, -1)
        self._evicted_counters[incarnation] = max(evicted, counter)
        if len(self._evicted_counters) > self._max_senders:
            self._evicted_counters.popitem(last=False)


def _split(exchange_id: bytes) -> tuple[bytes, int]:
    counter_bytes = exchange_id[-_COUNTER_BYTES:].rjust(_COUNTER_BYTES, b"\0")
    return exchange_id[:-_COUNTER_BYTES], struct.unpack(">Q", counter_bytes)[0]
