"""The two directions of a relayed connection."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_QUEUED_BYTES = 1024 * 1024


class Pipe:
    """One direction: bytes wait for their delay, and while it is cut."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.silent = False
        self._cut = False
        self._queue: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._reader: asyncio.Transport | None = None
        self._writer: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def set_reader(self, transport: asyncio.Transport) -> None:
        """Sets where bytes come from; paused while too many wait."""
        self._reader = transport

    def set_writer(self, transport: asyncio.Transport) -> None:
        """Sets where bytes go."""
        self._writer = transport
        self._pump()

    def set_cut(self, cut: bool) -> None:
        """Cuts or heals the direction; what waited then passes."""
        self._cut = cut
        self._pump()

    def feed(self, data: bytes) -> None:
        """Takes bytes; empty bytes are the end of the stream."""
        if self.silent:
            return
        due = asyncio.get_running_loop().time() + self.delay_s
        self._queue.append((due, data))
        self._queued_bytes += len(data)
        if self._queued_bytes > _MAX_QUEUED_BYTES and self._reader:
            self._reader.pause_reading()
        self._pump()

    def _pump(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._writer is None or self._cut or self.silent:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._queue and self._queue[0][0] <= now:
            self._write(self._queue.popleft()[1])
        if self._queue:
            self._timer = loop.call_at(self._queue[0][0], self._pump)

    def _write(self, data: bytes) -> None:
        assert self._writer is not None
        if not data:
            self._writer.close()
            return
        self._writer.write(data)
        self._queued_bytes -= len(data)
        if self._queued_bytes <= _MAX_QUEUED_BYTES and self._reader:
            self._reader.resume_reading()


class _End(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(
        self,
        incoming: Pipe,
        outgoing: Pipe,
        on_open: Callable[[asyncio.Transport], None],
        on_close: Callable[[], None],
    ):
        self._incoming = incoming
        self._outgoing = outgoing
        self._on_open = on_open
        self._on_close = on_close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._incoming.set_reader(transport)
        self._outgoing.set_writer(transport)
        self._on_open(transport)

    def data_received(self, data: bytes) -> None:
        self._incoming.feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._incoming.feed(b"")
        self._on_close()


class Connection:
    """A connection from a source node to a destination node."""

    def __init__(
        self, destination: str, on_close: Callable[[Connection], None]
    ):
        """Prepares both ends.

        Args:
            destination: Node that the connection leads to.
            on_close: Called when an end is closed.
        """
        self.source = ""
        self.destination = destination
        self.accepted = asyncio.Event()
        self.passable = asyncio.Event()
        self.caller_host = ""
        self._transports: list[asyncio.Transport] = []
        self._forward = Pipe()
        self._backward = Pipe()

        def closed() -> None:
            on_close(self)

        self.caller = _End(
            self._forward, self._backward, self._on_accepted, closed
        )
        self.listener = _End(
            self._backward, self._forward, self._transports.append, closed
        )

    def _on_accepted(self, transport: asyncio.Transport) -> None:
        self._transports.append(transport)
        self.caller_host = transport.get_extra_info("peername")[0]
        self.accepted.set()

    def set_path(self, delay_s: float, cut: bool, cut_back: bool) -> None:
        """Sets delay and cuts of both directions."""
        for pipe, is_cut in (
            (self._forward, cut),
            (self._backward, cut_back),
        ):
            pipe.delay_s = delay_s
            pipe.set_cut(is_cut)
        # A connection is opened by packets in both directions.
        if not cut and not cut_back:
            self.passable.set()

    def silence(self) -> None:
        """Loses everything from now on, and stays open."""
        self._forward.silent = True
        self._backward.silent = True

    def abort(self) -> None:
        """Resets the connection."""
        for transport in self._transports:
            transport.abort()
