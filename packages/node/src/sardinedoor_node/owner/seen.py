"""Remembers which offers arrived, so that none is taken twice."""

from __future__ import annotations

import collections
import struct

_COUNTER_BYTES = 8
_RECENT_OFFERS = 8_192
_INCARNATIONS = 4_096


class SeenOffers:
    """Ids of the offers taken so far, in bounded memory.

    An id is the sender's incarnation followed by a counter. What is no longer
    kept one by one counts as seen up to the highest counter forgotten.
    """

    def __init__(
        self, recent: int = _RECENT_OFFERS, incarnations: int = _INCARNATIONS
    ):
        """Starts empty.

        Args:
            recent: Number of ids kept one by one.
            incarnations: Number of senders kept.
        """
        self._limit = recent
        self._incarnations = incarnations
        self._recent: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._floors: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def add(self, exchange_id: bytes) -> bool:
        """Remembers an id.

        Args:
            exchange_id: Id of an offer, or of a cancel that overtook it.

        Returns:
            False if it was seen, or may have been.
        """
        incarnation, counter = _split(exchange_id)
        if counter <= self._floors.get(incarnation, -1):
            return False
        if exchange_id in self._recent:
            return False
        self._recent[exchange_id] = None
        if len(self._recent) > self._limit:
            self._forget_oldest()
        return True

    def _forget_oldest(self) -> None:
        oldest, _ = self._recent.popitem(last=False)
        incarnation, counter = _split(oldest)
        floor = self._floors.pop(incarnation, -1)
        self._floors[incarnation] = max(floor, counter)
        if len(self._floors) > self._incarnations:
            self._floors.popitem(last=False)


def _split(exchange_id: bytes) -> tuple[bytes, int]:
    tail = exchange_id[-_COUNTER_BYTES:].rjust(_COUNTER_BYTES, b"\0")
    return exchange_id[:-_COUNTER_BYTES], struct.unpack(">Q", tail)[0]
