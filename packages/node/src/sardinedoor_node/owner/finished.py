"""Final messages of recent exchanges, kept in case their links were lost."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.util import clock

# An ingress asks again as soon as its link is restored.
_KEEP_S = 4.0
_MAX_BYTES = 2 * 1024 * 1024
_MESSAGE_OVERHEAD_BYTES = 512


@dataclasses.dataclass(slots=True)
class _Entry:
    message: wire.Reply | wire.Refusal
    finished_at: float
    size: int


class FinishedExchanges:
    """Bounded memory of the final messages by exchange, the oldest first."""

    def __init__(self, time: clock.Clock):
        """Starts empty.

        Args:
            time: Source of the monotonic time.
        """
        self._clock = time
        self._entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(
        self, exchange_id: bytes, message: wire.Reply | wire.Refusal
    ) -> None:
        """Keeps a message, and discards old ones."""
        size = _MESSAGE_OVERHEAD_BYTES
        if isinstance(message, wire.Reply):
            size += len(message.body)
        now = self._clock.monotonic()
        self._entries[exchange_id] = _Entry(message, now, size)
        self._bytes += size
        while self._entries and self._is_disposable(now):
            _, oldest = self._entries.popitem(last=False)
            self._bytes -= oldest.size

    def _is_disposable(self, now: float) -> bool:
        oldest = next(iter(self._entries.values()))
        return self._bytes > _MAX_BYTES or now - oldest.finished_at > _KEEP_S

    def get(self, exchange_id: bytes) -> wire.Reply | wire.Refusal | None:
        """Returns the final message of an exchange, None if it isn't kept."""
        entry = self._entries.get(exchange_id)
        return entry.message if entry is not None else None
