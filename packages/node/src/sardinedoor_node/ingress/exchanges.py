"""Dispatches messages from owners to the exchanges they belong to.

An exchange consists of one offer of a request to an owner and the messages with
which the owner responds to it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import struct
from typing import TYPE_CHECKING
import weakref

from sardinedoor_node.owner import replywindow
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock
    from sardinedoor_schema import base


@dataclasses.dataclass(slots=True)
class _OpenExchange:
    """An open exchange: the name of the owner's node, and the inbox."""

    peer: str
    inbox: asyncio.Queue


class ExchangeTable:
    """Inboxes of open exchanges by correlation id."""

    def __init__(
        self, incarnation: bytes, counters: metrics.Metrics, time: clock.Clock
    ):
        """Starts without exchanges.

        Args:
            incarnation: Random bytes that identify this run of the process;
                prefix of all correlation ids.
            counters: Counts messages that arrive after their exchange closed.
            time: Source of the monotonic time.
        """
        self._clock = time
        # Weak keys, so that the times of discarded channels are dropped.
        self._last_message_at: weakref.WeakKeyDictionary[
            link.Channel, float
        ] = weakref.WeakKeyDictionary()
        self._incarnation = incarnation
        self._metrics = counters
        self._exchange_count = 0
        self._open: dict[bytes, _OpenExchange] = {}

    def open(self, peer: str) -> tuple[bytes, asyncio.Queue]:
        """Opens an exchange.

        Args:
            peer: Name of the owner's node.

        Returns:
            The correlation id, and the inbox. The inbox gets the owner's
            messages, and a `link.LinkChange` for each change of the link.
        """
        self._exchange_count += 1
        exchange_id = self._incarnation + struct.pack(
            ">Q", self._exchange_count
        )
        inbox: asyncio.Queue = asyncio.Queue()
        self._open[exchange_id] = _OpenExchange(peer, inbox)
        return exchange_id, inbox

    def last_message_at(self, channel: link.Channel) -> float | None:
        """Returns when a channel last received a message from an owner.

        Returns:
            Monotonic time, in s; None if it received none.
        """
        return self._last_message_at.get(channel)

    def close(self, exchange_id: bytes) -> None:
        """Closes an exchange; later messages for it are dropped."""
        self._open.pop(exchange_id, None)

    def on_link_change(self, peer: str, change: link.LinkChange) -> None:
        """Tells all exchanges with a peer that its link has changed."""
        for exchange in self._open.values():
            if exchange.peer == peer:
                exchange.inbox.put_nowait(change)

    def on_message(self, channel: link.Channel, message: base.Message) -> None:
        """Puts an owner's message into the inbox of its exchange.

        Args:
            channel: Channel that received the message.
            message: A Held, Reply or Refusal message; its id is the
                correlation id of the exchange.
        """
        self._last_message_at[channel] = self._clock.monotonic()
        if replywindow.is_long(message):
            channel.send(wire.ReplyReceived(message.id))
        exchange = self._open.get(message.id)
        if exchange is None:
            self._metrics.dropped("late")
            return
        exchange.inbox.put_nowait(message)
