"""Relayed TCP connections with delay, cuts and loss in each direction."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_QUEUED_BYTES = 1024 * 1024


class Pipe:
    """One direction of a connection.

    Bytes are queued until their delay has passed, and as long as the direction
    is cut.

    Attributes:
        delay_s: Delay of newly queued bytes, in s.
        silent: Whether all bytes are dropped, including those in the queue.
    """

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
        """Sets the transport that bytes come from.

        Reading is paused if more than `_MAX_QUEUED_BYTES` are queued.
        """
        self._reader = transport

    def set_writer(self, transport: asyncio.Transport) -> None:
        """Sets the transport that bytes are written to."""
        self._writer = transport
        self._write_due()

    def set_cut(self, cut: bool) -> None:
        """Sets or ends a cut; its end writes the bytes that are due."""
        self._cut = cut
        self._write_due()

    def enqueue(self, data: bytes) -> None:
        """Queues bytes for writing; empty bytes mark the end of the stream."""
        if self.silent:
            return
        due = asyncio.get_running_loop().time() + self.delay_s
        self._queue.append((due, data))
        self._queued_bytes += len(data)
        if self._queued_bytes > _MAX_QUEUED_BYTES and self._reader:
            self._reader.pause_reading()
        self._write_due()

    def _write_due(self) -> None:
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
            self._timer = loop.call_at(self._queue[0][0], self._write_due)

    def _write(self, data: bytes) -> None:
        assert self._writer is not None
        if not data:
            self._writer.close()
            return
        self._writer.write(data)
        self._queued_bytes -= len(data)
        if self._queued_bytes <= _MAX_QUEUED_BYTES and self._reader:
            self._reader.resume_reading()


class _Endpoint(asyncio.Protocol):
    """Protocol of one of the two sockets of a relayed connection."""

    def __init__(
        self,
        incoming: Pipe,
        outgoing: Pipe,
        on_open: Callable[[asyncio.Transport], None],
        on_close: Callable[[asyncio.Transport], None],
    ):
        self._incoming = incoming
        self._outgoing = outgoing
        self._on_open = on_open
        self._on_close = on_close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._incoming.set_reader(transport)
        self._outgoing.set_writer(transport)
        self._transport = transport
        self._on_open(transport)

    def data_received(self, data: bytes) -> None:
        self._incoming.enqueue(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._incoming.enqueue(b"")
        self._on_close(self._transport)


class Connection:
    """A relayed connection from a source node to a destination node.

    Attributes:
        source: Name of the source node; empty if it isn't known.
        destination: Name of the destination node.
        accepted: Set when the connection of the source was accepted.
        connectable: Set when no cut prevents the connection to the destination.
        closed: Set when all its sockets are closed.
        client_host: IP address of the source.
        client_end: Protocol of the socket to the source.
        server_end: Protocol of the socket to the destination.
    """

    def __init__(
        self, destination: str, on_close: Callable[[Connection], None]
    ):
        """Creates the protocols of both sockets.

        Args:
            destination: Name of the node that the relay connects to.
            on_close: Called once all its sockets are closed.
        """
        self.source = ""
        self.destination = destination
        self.accepted = asyncio.Event()
        self.connectable = asyncio.Event()
        self.closed = asyncio.Event()
        self.client_host = ""
        self._transports: list[asyncio.Transport] = []
        self._forward = Pipe()
        self._backward = Pipe()

        self._on_close = on_close
        self.client_end = _Endpoint(
            self._forward, self._backward, self._on_accepted, self._on_closed
        )
        self.server_end = _Endpoint(
            self._backward,
            self._forward,
            self._transports.append,
            self._on_closed,
        )

    def _on_closed(self, transport: asyncio.Transport) -> None:
        self._transports.remove(transport)
        if not self._transports:
            self.closed.set()
            self._on_close(self)

    def _on_accepted(self, transport: asyncio.Transport) -> None:
        self._transports.append(transport)
        self.client_host = transport.get_extra_info("peername")[0]
        self.accepted.set()

    def set_conditions(
        self, delay_s: float, forward_cut: bool, backward_cut: bool
    ) -> None:
        """Sets the delay, in s, and the cuts of both directions."""
        for pipe, is_cut in (
            (self._forward, forward_cut),
            (self._backward, backward_cut),
        ):
            pipe.delay_s = delay_s
            pipe.set_cut(is_cut)
        # The TCP handshake needs packets in both directions.
        if not forward_cut and not backward_cut:
            self.connectable.set()

    def silence(self) -> None:
        """Drops all bytes from now on without closing the connection."""
        self._forward.silent = True
        self._backward.silent = True

    def abort(self) -> None:
        """Resets both sockets."""
        for transport in list(self._transports):
            transport.abort()
