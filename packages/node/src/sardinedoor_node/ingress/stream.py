"""Streams of the listeners: they note first bytes and close gently."""

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

LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024

_lingering = tasks.TaskGroup()


class ListenerStream(iostream.IOStream):
    """A caller's connection.

    Attributes:
        began: When the first byte of the current message came, in s of the
            monotonic clock; None while there is none.
        reading_head: Whether a head is being read, not a body.
    """

    began: float | None = None
    reading_head: bool = True

    def __init__(
        self,
        own: socket.socket,
        time: clock.Clock,
        on_refused: Callable[[codes.Code], None],
        max_buffer_size: int,
    ):
        """Takes over a connection.

        Args:
            own: The socket.
            time: Tells when a message began.
            on_refused: Called with the code of a refusal outside of any
                exchange.
            max_buffer_size: Bytes buffered at most in each direction.
        """
        self._clock = time
        self._on_refused = on_refused
        super().__init__(own, max_buffer_size=max_buffer_size)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See base class."""
        count = super().read_from_fd(buf)
        if count and self.began is None:
            self.began = self._clock.monotonic()
        return count

    def close(self, exc_info: object = False) -> None:
        """See base class; a read beyond its limit is answered first."""
        if isinstance(exc_info, iostream.UnsatisfiableReadError):
            code = codes.Code.AMBIGUOUS_FRAMING
            if self.reading_head:
                code = codes.Code.HEADERS_TOO_LARGE
            self.refuse(code)
        super().close(exc_info)

    def refuse(self, code: codes.Code) -> None:
        """Sends a refusal outside of any exchange, and closes."""
        if self.closed():
            return
        self._on_refused(code)
        with contextlib.suppress(OSError):
            self.write_to_fd(memoryview(responses.plain(code)))
        self.close_gently()

    def close_gently(self) -> None:
        """Ends the connection so that the caller can read what was sent.

        Closing with unread input sends a reset, which may overtake a
        response. So the sending side ends first, and input is read and
        dropped for a while.
        """
        if self.closed():
            return
        rest = socket.socket(fileno=os.dup(self.socket.fileno()))
        super().close()
        _lingering.spawn(_linger(rest), "linger")


class TlsListenerStream(ListenerStream, iostream.SSLIOStream):
    """A caller's connection with TLS."""


async def _linger(rest: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    left = LINGER_BYTES
    with rest, contextlib.suppress(OSError, TimeoutError):
        rest.setblocking(False)
        rest.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_S):
            while left > 0:
                data = await loop.sock_recv(rest, _READ_BYTES)
                if not data:
                    return
                left -= len(data)


async def lingered() -> None:
    """Waits until all connections that close gently are closed."""
    while len(_lingering) > 0:
        await asyncio.sleep(LINGER_S / 20)
