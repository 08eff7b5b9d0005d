"""Listening sockets that close without resetting queued connections."""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
from typing import TYPE_CHECKING

from tornado import netutil

if TYPE_CHECKING:
    from collections.abc import Callable

# Time to wait between `ignore_new_connections` and `close`, in which TCP
# handshakes that have already begun complete.
HANDSHAKE_WAIT_S = 0.05
_SO_ATTACH_FILTER = 26
_TCP_FLAGS_OFFSET = 13
_TCP_SYN = 0x02
# Classic BPF program that runs on the TCP header and drops segments with the
# SYN flag, which open a connection. An instruction consists of its operation
# code, the jump offsets for true and false, and its operand.
_DROP_SYN_FILTER = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # Load the byte with the TCP flags.
    (0x45, 0, 1, _TCP_SYN),  # If SYN is not set, skip one instruction.
    (0x06, 0, 0, 0),  # Return 0 bytes: drop the segment.
    (0x06, 0, 0, 0xFFFFFFFF),  # Return all bytes: keep the segment.
)


class Acceptor:
    """Accepts connections on a listening socket.

    When a listening socket closes, the kernel resets the connections in its
    accept queue, even if a request was already sent on them. Therefore the
    socket first drops new SYN segments, then all queued connections are
    accepted, and only then is the socket closed.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_accept: Callable[[socket.socket, tuple], None],
    ):
        """Starts to accept connections.

        Args:
            listening: The listening socket; the acceptor closes it.
            on_accept: Called with the socket of each accepted connection and
                the address of its peer.
        """
        self._socket = listening
        self._on_accept = on_accept
        self._remove_handler = netutil.add_accept_handler(listening, on_accept)

    def ignore_new_connections(self) -> None:
        """Drops the segments that open new connections.

        Clients retransmit these segments; the kernel refuses the connections
        once the socket is closed.
        """
        instructions = b"".join(
            struct.pack("HBBI", *instruction)
            for instruction in _DROP_SYN_FILTER
        )
        program_buffer = ctypes.create_string_buffer(instructions)
        program = struct.pack(
            "HP", len(_DROP_SYN_FILTER), ctypes.addressof(program_buffer)
        )
        # If the kernel permits no filter, closing still works, but resets a
        # connection that completes between the last accept and the close.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, _SO_ATTACH_FILTER, program
            )

    def close(self) -> None:
        """Accepts the queued connections and closes the socket."""
        if self._socket.fileno() < 0:
            return
        self._remove_handler()
        while True:
            try:
                accepted, address = self._socket.accept()
            except OSError:
                break
            accepted.setblocking(False)
            self._on_accept(accepted, address)
        self._socket.close()
