"""Requests with a key: which ran here, and what they were answered."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING
import uuid

import msgspec

from sardinedoor_node.util import digests
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.util import clock

CLOCK_SKEW_MS = 2_000
UNTIMED_WINDOW_MS = 600_000
MAX_KEY_CHARS = 255
MAX_ENTRIES = 20_000
MAX_BYTES = 8 * 1024 * 1024
MAX_KEPT_BODY_BYTES = 64 * 1024
_ENTRY_BYTES = 560
_UUID_TIME_SHIFT = 80
_UUID_TIMED_VERSION = 7
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(wire.Reply)


def key_time_ms(key: str) -> int:
    """Reads the time of creation that a version 7 UUID carries.

    Args:
        key: The key as the caller sent it.

    Returns:
        Unix time in ms; 0 if the key carries none.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != _UUID_TIMED_VERSION:
        return 0
    return parsed.int >> _UUID_TIME_SHIFT


def is_valid(key: str) -> bool:
    """Tells whether a key is short enough and printable."""
    return len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def scope(team: str, service: str, organisation: str, key: str) -> bytes:
    """Returns the name under which a key is kept."""
    return digests.of_parts(
        [team.encode(), service.encode(), organisation.encode(), key.encode()]
    )


class Entry:
    """One key: running until `finish`, then what became of it."""

    __slots__ = (
        "_finished",
        "_kept",
        "_waiting",
        "fingerprint",
        "name",
        "time_ms",
    )

    def __init__(self, name: bytes, fingerprint: bytes, time_ms: int):
        """Starts running.

        Args:
            name: Scope of the key.
            fingerprint: Digest of the request.
            time_ms: Time of the key, in ms; its arrival if it carries none.
        """
        self.name = name
        self.fingerprint = fingerprint
        self.time_ms = time_ms
        self._finished = False
        self._kept: bytes | codes.Code | None = None
        self._waiting: asyncio.Event | None = None

    @property
    def running(self) -> bool:
        """Whether its outcome is still open."""
        return not self._finished

    @property
    def abandoned(self) -> bool:
        """Whether it ended without a run."""
        return self._finished and self._kept is None

    @property
    def size(self) -> int:
        """Memory it takes, in bytes."""
        if isinstance(self._kept, bytes):
            return _ENTRY_BYTES + len(self._kept)
        return _ENTRY_BYTES

    async def wait(self, timeout_s: float) -> bool:
        """Waits until it isn't running; False if that takes too long."""
        if self._finished:
            return True
        if self._waiting is None:
            self._waiting = asyncio.Event()
        try:
            async with asyncio.timeout(timeout_s):
                await self._waiting.wait()
        except TimeoutError:
            return False
        return True

    def finish(self, message: wire.Reply | wire.Refusal | None) -> None:
        """Keeps the outcome and wakes those that wait for it."""
        self._kept = _kept(message)
        self._finished = True
        if self._waiting is not None:
            self._waiting.set()
            self._waiting = None

    def repeat(self, exchange_id: bytes) -> wire.Reply | wire.Refusal:
        """Returns the outcome as the answer to another exchange."""
        if not isinstance(self._kept, bytes):
            return wire.Refusal(exchange_id, self._kept)
        repeated = _DECODER.decode(self._kept)
        repeated.id = exchange_id
        repeated.before = True
        repeated.digest = digests.of_reply(repeated)
        return repeated


def _kept(
    message: wire.Reply | wire.Refusal | None,
) -> bytes | codes.Code | None:
    if message is None:
        return None
    if isinstance(message, wire.Refusal):
        return codes.Code(message.code)
    if len(message.body) > MAX_KEPT_BODY_BYTES:
        return codes.Code.ANSWER_NOT_KEPT
    # Encoded, an answer takes a quarter of the memory of its objects.
    return _ENCODER.encode(message)


class Ledger:
    """The keys of one node since its start, in bounded memory.

    Attributes:
        covered_ms: No key of an older time can be vouched for.
    """

    def __init__(
        self,
        time: clock.Clock,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
    ):
        """Starts empty; coverage begins when clocks that differ allow.

        Args:
            time: The clock.
            max_entries: Most keys kept.
            max_bytes: Most memory taken by finished keys.
        """
        self._clock = time
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: dict[bytes, Entry] = {}
        self._finished: collections.deque[Entry] = collections.deque()
        self.covered_ms = self.now_ms() + CLOCK_SKEW_MS

    def now_ms(self) -> int:
        """Returns the time of day as Unix time in ms."""
        return int(self._clock.now().timestamp() * 1000)

    def find(self, name: bytes) -> Entry | None:
        """Returns the entry of a key, if there is one."""
        return self._entries.get(name)

    def refusal(self, time_ms: int, homed_ms: int) -> codes.Code | None:
        """Tells why a key without entry can't be run.

        Args:
            time_ms: Time that the key carries, in ms; 0 for none.
            homed_ms: Since when its home is here.

        Returns:
            The code; None if the key was certainly never run.
        """
        now_ms = self.now_ms()
        covered_ms = max(self.covered_ms, homed_ms)
        if time_ms > now_ms + CLOCK_SKEW_MS:
            return codes.Code.KEY_INVALID
        if time_ms == 0:
            covered_ms += UNTIMED_WINDOW_MS
            time_ms = now_ms
        if time_ms < covered_ms:
            return codes.Code.KEY_NOT_COVERED
        if len(self._entries) - len(self._finished) >= self._max_entries:
            return codes.Code.QUEUE_FULL
        return None

    def begin(self, name: bytes, fingerprint: bytes, time_ms: int) -> Entry:
        """Adds a running key."""
        entry = Entry(name, fingerprint, time_ms or self.now_ms())
        self._entries[name] = entry
        return entry

    def abandon(self, entry: Entry) -> None:
        """Forgets a key whose request was certainly not run."""
        del self._entries[entry.name]
        entry.finish(None)

    def finish(self, entry: Entry, message: wire.Reply | wire.Refusal) -> None:
        """Keeps the outcome of a key, and forgets the oldest beyond bounds."""
        entry.finish(message)
        self._finished.append(entry)
        self._bytes += entry.size
        while (
            self._bytes > self._max_bytes
            or len(self._finished) > self._max_entries
        ):
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        entry = self._finished.popleft()
        del self._entries[entry.name]
        self._bytes -= entry.size
        self.covered_ms = max(self.covered_ms, entry.time_ms + 1)
