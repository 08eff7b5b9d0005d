"""Ledger of the idempotency keys that ran at this node, with outcomes."""

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

# Largest difference assumed between the clocks of callers and nodes.
CLOCK_SKEW_MS = 2_000
# Longest time between the first request with a key that carries no time and
# its last repeat.
UNTIMED_WINDOW_MS = 600_000
MAX_KEY_CHARS = 255
# Applies to running and finished keys separately.
MAX_ENTRIES = 20_000
MAX_FINISHED_BYTES = 8 * 1024 * 1024
MAX_STORED_BODY_BYTES = 64 * 1024
_ENTRY_BYTES = 560
_UUID_TIME_SHIFT = 80
_UUID_TIMED_VERSION = 7
_REPLY_ENCODER = msgspec.msgpack.Encoder()
_REPLY_DECODER = msgspec.msgpack.Decoder(wire.Reply)


def key_time_ms(key: str) -> int:
    """Returns the time of creation in a key that is a version 7 UUID.

    Args:
        key: The key as sent by the caller.

    Returns:
        Unix time in ms; 0 if the key carries no time.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != _UUID_TIMED_VERSION:
        return 0
    return parsed.int >> _UUID_TIME_SHIFT


def is_valid_key(key: str) -> bool:
    """Returns whether a key is printable ASCII of an allowed length."""
    return len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def scope_digest(team: str, service: str, organisation: str, key: str) -> bytes:
    """Returns the digest that identifies a key within its scope.

    Equal keys of different teams, services or organisations are unrelated.
    """
    return digests.of_parts(
        [team.encode(), service.encode(), organisation.encode(), key.encode()]
    )


class Entry:
    """State of one key: running until `finish`, then its recorded outcome."""

    __slots__ = (
        "_finished",
        "_outcome",
        "_finish_event",
        "fingerprint",
        "scope",
        "time_ms",
    )

    def __init__(self, scope: bytes, fingerprint: bytes, time_ms: int):
        """Starts as running.

        Args:
            scope: Digest from `scope_digest`.
            fingerprint: Digest of the request.
            time_ms: Unix time that the key carries, or of its arrival if it
                carries none, in ms.
        """
        self.scope = scope
        self.fingerprint = fingerprint
        self.time_ms = time_ms
        self._finished = False
        self._outcome: bytes | codes.Code | None = None
        self._finish_event: asyncio.Event | None = None

    @property
    def running(self) -> bool:
        """Whether the request has no outcome yet."""
        return not self._finished

    @property
    def abandoned(self) -> bool:
        """Whether the request ended without having run."""
        return self._finished and self._outcome is None

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the entry, in bytes."""
        if isinstance(self._outcome, bytes):
            return _ENTRY_BYTES + len(self._outcome)
        return _ENTRY_BYTES

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the entry to finish; returns False after the timeout."""
        if self._finished:
            return True
        if self._finish_event is None:
            self._finish_event = asyncio.Event()
        try:
            async with asyncio.timeout(timeout_s):
                await self._finish_event.wait()
        except TimeoutError:
            return False
        return True

    def finish(self, message: wire.Reply | wire.Refusal | None) -> None:
        """Records the outcome and wakes the repeats that wait for it.

        Args:
            message: The outcome; None if the request did not run.
        """
        self._outcome = _encode_outcome(message)
        self._finished = True
        if self._finish_event is not None:
            self._finish_event.set()
            self._finish_event = None

    def replay(self, exchange_id: bytes) -> wire.Reply | wire.Refusal:
        """Returns the recorded outcome as the message for another exchange."""
        if not isinstance(self._outcome, bytes):
            return wire.Refusal(exchange_id, self._outcome)
        replayed = _REPLY_DECODER.decode(self._outcome)
        replayed.id = exchange_id
        replayed.before = True
        replayed.digest = digests.of_reply(replayed)
        return replayed


def _encode_outcome(
    message: wire.Reply | wire.Refusal | None,
) -> bytes | codes.Code | None:
    if message is None:
        return None
    if isinstance(message, wire.Refusal):
        return codes.Code(message.code)
    if len(message.body) > MAX_STORED_BODY_BYTES:
        return codes.Code.ANSWER_NOT_KEPT
    # An encoded reply takes a quarter of the memory of its objects.
    return _REPLY_ENCODER.encode(message)


class Ledger:
    """Keys that ran at one node since its start, in bounded memory.

    Attributes:
        covered_from_ms: Unix time in ms. A key with an earlier time may have
            run without an entry in the ledger, so it is refused.
    """

    def __init__(
        self,
        time: clock.Clock,
        max_entries: int = MAX_ENTRIES,
        max_finished_bytes: int = MAX_FINISHED_BYTES,
    ):
        """Starts empty; coverage begins after the allowed clock skew.

        Args:
            time: The clock.
            max_entries: Largest number of running keys, and of finished keys.
            max_finished_bytes: Largest memory of finished keys, in bytes.
        """
        self._clock = time
        self._max_entries = max_entries
        self._max_finished_bytes = max_finished_bytes
        self._finished_bytes = 0
        self._entries: dict[bytes, Entry] = {}
        self._finished: collections.deque[Entry] = collections.deque()
        self.covered_from_ms = self.now_ms() + CLOCK_SKEW_MS

    def now_ms(self) -> int:
        """Returns the current Unix time in ms."""
        return int(self._clock.now().timestamp() * 1000)

    def find(self, scope: bytes) -> Entry | None:
        """Returns the entry of a key, None if it has none."""
        return self._entries.get(scope)

    def refusal_code(
        self, time_ms: int, home_since_ms: int
    ) -> codes.Code | None:
        """Returns why a request whose key has no entry must not run.

        Args:
            time_ms: Unix time that the key carries, in ms; 0 for none.
            home_since_ms: Unix time in ms from which on only this worker can
                have run the key.

        Returns:
            The code; None if the key certainly has not run and there is room
            for it.
        """
        now_ms = self.now_ms()
        covered_from_ms = max(self.covered_from_ms, home_since_ms)
        if time_ms > now_ms + CLOCK_SKEW_MS:
            return codes.Code.KEY_INVALID
        if time_ms == 0:
            covered_from_ms += UNTIMED_WINDOW_MS
            time_ms = now_ms
        if time_ms < covered_from_ms:
            return codes.Code.KEY_NOT_COVERED
        if len(self._entries) - len(self._finished) >= self._max_entries:
            return codes.Code.QUEUE_FULL
        return None

    def begin(self, scope: bytes, fingerprint: bytes, time_ms: int) -> Entry:
        """Adds an entry for a key whose request starts.

        Args:
            scope: Digest from `scope_digest`.
            fingerprint: Digest of the request.
            time_ms: Unix time that the key carries, in ms; 0 for none.
        """
        entry = Entry(scope, fingerprint, time_ms or self.now_ms())
        self._entries[scope] = entry
        return entry

    def abandon(self, entry: Entry) -> None:
        """Removes a key whose request certainly did not run."""
        del self._entries[entry.scope]
        entry.finish(None)

    def finish(self, entry: Entry, message: wire.Reply | wire.Refusal) -> None:
        """Records the outcome of a key and evicts the oldest beyond the bounds.

        Eviction moves `covered_from_ms` past the time of the evicted key.
        """
        entry.finish(message)
        self._finished.append(entry)
        self._finished_bytes += entry.size_bytes
        while (
            self._finished_bytes > self._max_finished_bytes
            or len(self._finished) > self._max_entries
        ):
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        entry = self._finished.popleft()
        del self._entries[entry.scope]
        self._finished_bytes -= entry.size_bytes
        self.covered_from_ms = max(self.covered_from_ms, entry.time_ms + 1)
