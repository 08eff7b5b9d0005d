"""Correlates replies with the exchanges of this incarnation."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING
import weakref

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock
    from sardinedoor_schema import base


class ExchangeTable:
    """Inboxes of running exchanges by correlation id."""

    def __init__(
        self, incarnation: bytes, counters: metrics.Metrics, time: clock.Clock
    ):
        """Starts empty.

        Args:
            incarnation: Random bytes that no other process has.
            counters: Where late replies are counted.
            time: The clock.
        """
        self._clock = time
        self._heard: weakref.WeakKeyDictionary[link.Channel, float] = (
            weakref.WeakKeyDictionary()
        )
        self._incarnation = incarnation
        self._metrics = counters
        self._counter = 0
        self._inboxes: dict[bytes, asyncio.Queue] = {}

    def open(self) -> tuple[bytes, asyncio.Queue]:
        """Returns a new correlation id and its inbox."""
        self._counter += 1
        exchange_id = self._incarnation + struct.pack(">Q", self._counter)
        inbox: asyncio.Queue = asyncio.Queue()
        self._inboxes[exchange_id] = inbox
        return exchange_id, inbox

    def heard(self, channel: link.Channel) -> float | None:
        """Tells when a peer last sent anything, in s; None for never."""
        return self._heard.get(channel)

    def close(self, exchange_id: bytes) -> None:
        """Forgets an exchange; what still arrives for it is dropped."""
        self._inboxes.pop(exchange_id, None)

    def on_message(self, channel: link.Channel, message: base.Message) -> None:
        """Puts a held, reply or refusal into its inbox."""
        self._heard[channel] = self._clock.monotonic()
        inbox = self._inboxes.get(message.id)
        if inbox is None:
            self._metrics.dropped("late")
            return
        inbox.put_nowait(message)
