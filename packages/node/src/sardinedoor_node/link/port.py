"""A ZeroMQ socket on the event loop."""

from __future__ import annotations

import asyncio

import zmq


class Port:
    """Sends at once or not at all, and waits for what arrives.

    The descriptor of a ZeroMQ socket signals only changes, and any send may
    consume the signal of a frame that has just arrived. So the state is read
    again after each send.
    """

    def __init__(self, socket: zmq.Socket):
        """Takes over a socket.

        Args:
            socket: Bound or connected; it is closed with the port.
        """
        self._socket = socket
        self._loop = asyncio.get_running_loop()
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._descriptor = socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._descriptor, self._check)
        self._check()

    def _check(self) -> None:
        if self._socket.closed:
            return
        events = self._socket.getsockopt(zmq.EVENTS)
        if events & zmq.POLLIN:
            self._readable.set()
        if events & zmq.POLLOUT:
            self._writable.set()

    def send(self, parts: list[bytes]) -> bool:
        """Sends a message of one or more parts.

        Args:
            parts: The parts.

        Returns:
            False if the peer isn't connected, its queue is full or the port
            is closed; then nothing was sent.
        """
        if self._socket.closed:
            return False
        try:
            self._socket.send_multipart(parts, zmq.DONTWAIT)
        except zmq.ZMQError:
            return False
        finally:
            self._check()
        return True

    def is_writable(self) -> bool:
        """Tells whether a message can be sent now."""
        return bool(self._socket.getsockopt(zmq.EVENTS) & zmq.POLLOUT)

    async def writable(self, timeout_s: float) -> bool:
        """Waits until a message can be sent.

        Args:
            timeout_s: Longest wait, in s.

        Returns:
            False if none can be sent yet.
        """
        self._writable.clear()
        self._check()
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
                self._check()
            await self._readable.wait()

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket.

        Args:
            linger_ms: Time for what was sent to leave, in ms.
        """
        self._loop.remove_reader(self._descriptor)
        self._socket.close(linger=linger_ms)
