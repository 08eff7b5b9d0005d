"""Idle connections to one target."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado import iostream

DEFAULT_MAX_IDLE = 3
# Bytes that follow a complete response arrive within this time, in s; the
# connection is closed then rather than kept open until its next use.
_STRAY_BYTES_CHECK_S = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """An open connection to the target.

    Attributes:
        stream: Its byte stream.
        request_ids: Ids of the requests that it carried. A second copy of one
            of their responses may still arrive.
        idle_since: Loop time of the end of the last response, in s.
        reusable_until: Loop time from which on it isn't reused, in s.
    """

    stream: iostream.IOStream
    request_ids: set[str] = dataclasses.field(default_factory=set)
    idle_since: float = 0.0
    reusable_until: float = 0.0


class ConnectionPool:
    """Idle connections, of which the one used last is reused first.

    Attributes:
        max_idle: Largest number of idle connections.
    """

    def __init__(self) -> None:
        self.max_idle = DEFAULT_MAX_IDLE
        self._idle: list[Connection] = []

    def pop(self, max_idle_s: float, request_id: str) -> Connection | None:
        """Takes a connection out of the pool, and closes unusable ones.

        Args:
            max_idle_s: Idle time, in s, from which on none is taken.
            request_id: Id of the request; no connection carries an id twice.

        Returns:
            The connection; None if there is none.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle[-1]
            if (
                now >= connection.reusable_until
                or request_id in connection.request_ids
                or _is_stale(connection.stream)
            ):
                self._idle.pop().stream.close()
            elif now - connection.idle_since >= max_idle_s:
                return None
            else:
                return self._idle.pop()
        return None

    def add(self, connection: Connection, idle_timeout_s: float) -> None:
        """Adds a connection, or closes it if the pool is full.

        Args:
            connection: The connection; its last response is complete.
            idle_timeout_s: Time from which on it isn't reused, in s.
        """
        if len(self._idle) >= self.max_idle:
            connection.stream.close()
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        connection.reusable_until = loop.time() + idle_timeout_s
        self._idle.append(connection)
        loop.call_later(_STRAY_BYTES_CHECK_S, self._close_if_stale, connection)

    def _close_if_stale(self, connection: Connection) -> None:
        if connection in self._idle and _is_stale(connection.stream):
            self._idle.remove(connection)
            connection.stream.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.stream.close()
        self._idle.clear()


def _is_stale(stream: iostream.IOStream) -> bool:
    """Returns whether an idle connection is closed or has unread bytes."""
    if stream.closed():
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return stream._read_buffer_size > 0
    except OSError:
        return True
    return True
