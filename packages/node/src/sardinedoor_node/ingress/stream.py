"""Byte streams of callers' connections, with a lingering close."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import TYPE_CHECKING

from tornado import iostream

from sardinedoor_node.ingress import responses
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.util import clock

LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024

_linger_tasks = tasks.TaskGroup()


class CallerStream(iostream.IOStream):
    """Byte stream of a caller's connection.

    Attributes:
        message_started_at: When the first byte of the current message was
            received, monotonic, in s; None if none was.
        reading_head: Whether the head of a message is being read, not its
            body.
    """

    message_started_at: float | None = None
    reading_head: bool = True

    def __init__(
        self,
        accepted: socket.socket,
        time: clock.Clock,
        on_refused: Callable[[codes.Code], None],
        max_buffer_size: int,
    ):
        """Wraps an accepted connection.

        Args:
            accepted: Its socket; the stream closes it.
            time: The clock.
            on_refused: Called with the result code of each refusal that the
                stream sends itself.
            max_buffer_size: Limit of the read buffer, in bytes.
        """
        self._clock = time
        self._on_refused = on_refused
        super().__init__(accepted, max_buffer_size=max_buffer_size)

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the peer's side hasn't taken yet."""
        return self._total_write_index - self._total_write_done_index

    @property
    def sent_bytes(self) -> int:
        """Bytes that the peer's side has taken since the connection opened."""
        return self._total_write_done_index

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See base class."""
        count = super().read_from_fd(buf)
        if count and self.message_started_at is None:
            self.message_started_at = self._clock.monotonic()
        return count

    def close(self, exc_info: object = False) -> None:
        """See base class; refuses a head or chunk line that is too long."""
        if isinstance(exc_info, iostream.UnsatisfiableReadError):
            code = codes.Code.AMBIGUOUS_FRAMING
            if self.reading_head:
                code = codes.Code.HEADERS_TOO_LARGE
            self.refuse(code)
        super().close(exc_info)

    def refuse(self, code: codes.Code) -> None:
        """Sends a refusal without calling a handler, and closes the stream."""
        if self.closed():
            return
        self._on_refused(code)
        with contextlib.suppress(OSError):
            self.write_to_fd(memoryview(responses.serialise_refusal(code)))
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Closes the connection so that the caller receives what was sent.

        Closing a socket with unread input sends a TCP reset, on which the
        caller may discard a response that it hasn't read yet. Therefore only
        the sending side is closed at first (a half-close), and further input
        is read and discarded for up to `LINGER_TIMEOUT_S`.
        """
        if self.closed():
            return
        duplicate = socket.socket(fileno=os.dup(self.socket.fileno()))
        super().close()
        _linger_tasks.spawn(_read_until_closed(duplicate), "linger")


class TlsCallerStream(CallerStream, iostream.SSLIOStream):
    """Byte stream of a caller's connection that uses TLS."""


async def _read_until_closed(duplicate: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    remaining_bytes = MAX_LINGER_BYTES
    with duplicate, contextlib.suppress(OSError, TimeoutError):
        duplicate.setblocking(False)
        duplicate.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_TIMEOUT_S):
            while remaining_bytes > 0:
                data = await loop.sock_recv(duplicate, _READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)


async def wait_for_lingering() -> None:
    """Waits until all lingering connections are closed."""
    while len(_linger_tasks) > 0:
        await asyncio.sleep(LINGER_TIMEOUT_S / 20)
