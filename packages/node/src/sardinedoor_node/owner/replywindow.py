"""Flow control of long replies from an owner to the ingresses.

It answers a load at which many callers of one ingress get long answers: those that the
ingress hasn't read yet would fill its memory. An ingress acknowledges each long reply, and
an owner sends it the next one only then. Meanwhile the owner holds the reply, which
counts as memory of the responses that it reads, so that its worker waits in the end.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import weakref

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link

# Replies with longer bodies are acknowledged.
LONG_REPLY_BYTES = 256 * 1024
# Time after which a reply that wasn't acknowledged is taken as lost, in s.
_ACKNOWLEDGE_TIMEOUT_S = 5.0


def is_long(message: wire.Reply | wire.Refusal) -> bool:
    """Returns whether a message is a reply with a long body."""
    return (
        isinstance(message, wire.Reply) and len(message.body) > LONG_REPLY_BYTES
    )


class ReplyWindows:
    """Sends long replies to each ingress one after another."""

    def __init__(self) -> None:
        """Starts without replies."""
        # Weak keys, so that the locks of discarded channels are dropped.
        self._locks: weakref.WeakKeyDictionary[link.Channel, asyncio.Lock] = (
            weakref.WeakKeyDictionary()
        )
        self._unacknowledged: dict[bytes, asyncio.Event] = {}

    async def send(self, channel: link.Channel, message: wire.Reply) -> None:
        """Sends a long reply, and waits until the ingress has it.

        Args:
            channel: Channel to the ingress.
            message: The reply.
        """
        async with self._locks.setdefault(channel, asyncio.Lock()):
            acknowledged = asyncio.Event()
            self._unacknowledged[message.id] = acknowledged
            try:
                if channel.send(message):
                    async with asyncio.timeout(_ACKNOWLEDGE_TIMEOUT_S):
                        await acknowledged.wait()
            except TimeoutError:
                pass
            finally:
                del self._unacknowledged[message.id]

    def on_acknowledged(
        self, channel: link.Channel, message: wire.ReplyReceived
    ) -> None:
        """Records that an ingress has a reply."""
        del channel
        acknowledged = self._unacknowledged.get(message.id)
        if acknowledged is not None:
            acknowledged.set()
