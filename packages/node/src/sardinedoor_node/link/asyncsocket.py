"""ZeroMQ sockets for asyncio."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq

if TYPE_CHECKING:
    from collections.abc import Callable


class AsyncSocket:
    """A ZeroMQ socket with non-blocking sends and awaitable receives.

    The file descriptor of a ZeroMQ socket is edge-triggered, and a send may
    consume the signal of a frame that has just arrived. The events of the
    socket are therefore read again after each send.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        on_writable: Callable[[bool], None] | None = None,
    ):
        """Registers a socket with the running event loop.

        Args:
            socket: A bound or connected socket; `close` closes it.
            on_writable: Called with whether messages can be sent, each time
                that this has changed; at first they can't.
        """
        self._socket = socket
        self._on_writable = on_writable
        self._was_writable = False
        self._loop = asyncio.get_running_loop()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._descriptor = socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._descriptor, self._update_events)
        self._update_events()

    def _update_events(self) -> None:
        if self._socket.closed:
            return
        events = self._socket.getsockopt(zmq.EVENTS)
        if events & zmq.POLLIN:
            self._readable.set()
        is_writable = bool(events & zmq.POLLOUT)
        if is_writable:
            self._writable.set()
        if self._on_writable and is_writable != self._was_writable:
            # Not from within a send, whose caller may be changing its state.
            self._loop.call_soon(self._on_writable, is_writable)
        self._was_writable = is_writable

    def send(self, parts: list[bytes]) -> bool:
        """Sends a message of one or more parts.

        Args:
            parts: The parts, one frame each.

        Returns:
            False if nothing was sent, because the peer isn't connected, its
            queue is full or the socket is closed.
        """
        if self._socket.closed:
            return False
        try:
            self._socket.send_multipart(parts, zmq.DONTWAIT)
        except zmq.ZMQError:
            return False
        finally:
            self._update_events()
        return True

    def is_writable(self) -> bool:
        """Returns whether a message can be sent now."""
        return bool(self._socket.getsockopt(zmq.EVENTS) & zmq.POLLOUT)

    async def wait_writable(self, timeout_s: float) -> bool:
        """Waits until a message can be sent.

        Args:
            timeout_s: Longest wait, in s.

        Returns:
            False if none could be sent in this time.
        """
        self._writable.clear()
        self._update_events()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._writable.wait()
        except TimeoutError:
            return False

    async def receive(self) -> list[bytes]:
        """Waits for a message and returns its parts."""
        while True:
            try:
                return self._socket.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                self._readable.clear()
                self._update_events()
            await self._readable.wait()

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket.

        Args:
            linger_ms: Longest time to transmit queued messages, in ms.
        """
        self._loop.remove_reader(self._descriptor)
        self._socket.close(linger=linger_ms)
