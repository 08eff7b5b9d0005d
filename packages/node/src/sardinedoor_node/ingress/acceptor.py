"""A listening socket that can be closed without cutting a caller."""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
from typing import TYPE_CHECKING

from tornado import netutil

if TYPE_CHECKING:
    from collections.abc import Callable

SETTLE_S = 0.05
_SO_ATTACH_FILTER = 26
_TCP_FLAGS_OFFSET = 13
_TCP_SYN = 0x02
# Classic BPF, run on the TCP header: drops segments that open a connection.
_DROP_SYN = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),
    (0x45, 0, 1, _TCP_SYN),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


class Acceptor:
    """Accepts connections until it is told to refuse new ones.

    Connections that the kernel has completed but nobody has accepted are
    reset when a listening socket closes, even where a request was already
    sent on them. So the socket first ignores new callers, then what is
    complete is accepted, and only then it closes.
    """

    def __init__(
        self,
        listening: socket.socket,
        accepted: Callable[[socket.socket, tuple], None],
    ):
        """Begins to accept.

        Args:
            listening: The bound socket, which is taken over.
            accepted: Takes a connection and the caller's address.
        """
        self._socket = listening
        self._accepted = accepted
        self._remove = netutil.add_accept_handler(listening, accepted)

    def refuse_new(self) -> None:
        """Ignores callers that begin to connect from now on.

        They are refused by the kernel once the socket is closed.
        """
        code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
        program = ctypes.create_string_buffer(code)
        described = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(program))
        # Where filters aren't allowed, a very small window for a reset stays.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, _SO_ATTACH_FILTER, described
            )

    def close(self) -> None:
        """Accepts what is complete and closes."""
        if self._socket.fileno() < 0:
            return
        self._remove()
        while True:
            try:
                own, address = self._socket.accept()
            except OSError:
                break
            own.setblocking(False)
            self._accepted(own, address)
        self._socket.close()
