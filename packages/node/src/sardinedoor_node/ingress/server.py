"""Accepts callers' connections and reads requests from them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import ssl
from typing import TYPE_CHECKING

from tornado import iostream
from tornado import netutil

from sardinedoor_node.ingress import acceptor
from sardinedoor_node.ingress import connection
from sardinedoor_node.ingress import reader
from sardinedoor_node.ingress import requests
from sardinedoor_node.ingress import stream
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node.ingress import tls
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

MAX_BODIES_BYTES = 16 * 1024 * 1024
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
HANDSHAKE_TIMEOUT_S = 10.0
SWEEP_INTERVAL_S = 0.5
# Connections above the limit that are told so; more are closed unread.
_REFUSED_CONNECTIONS = 64
_STREAM_BUFFER_BYTES = 256 * 1024
_BACKLOG = 1024


class Server:
    """Listeners of one node, and the connections that callers opened."""

    def __init__(
        self,
        handler: requests.Handler,
        counters: metrics.Metrics,
        time: clock.Clock,
        max_connections: int,
        tls_context: tls.TlsContext | None = None,
    ):
        """Starts with no listener.

        Args:
            handler: Serves the requests.
            counters: Counts the refusals made here.
            time: Bounds what callers may take their time for.
            max_connections: Connections that are served at once.
            tls_context: Certificate of the public listener, None for none.
        """
        self._handler = handler
        self._metrics = counters
        self._clock = time
        self._max_connections = max_connections
        self._tls = tls_context
        self._acceptors: list[acceptor.Acceptor] = []
        self._connections: set[reader.Connection] = set()
        self._tasks = tasks.TaskGroup()
        self._requests = tasks.TaskGroup()
        self._body_bytes = 0
        self._draining = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Number of requests that are being read or served."""
        reading = sum(
            1
            for own in self._connections
            if not own.idle and own.state is not reader.State.SERVING
        )
        return reading + len(self._requests)

    @property
    def max_body_bytes(self) -> int:
        """Longest body of a request that is read."""
        return self._handler.max_body_bytes

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining

    def listen(self, address: str, public: bool) -> None:
        """Starts a listener.

        Args:
            address: IP number and port.
            public: Whether its callers are outside.

        Raises:
            OSError: The address can't be bound.
        """
        host, _, port = address.rpartition(":")
        bound = netutil.bind_sockets(
            int(port), host.strip("[]"), backlog=_BACKLOG
        )

        def accepted(own: socket.socket, remote: tuple) -> None:
            self._on_accepted(own, remote[0], public)

        for one in bound:
            self._acceptors.append(acceptor.Acceptor(one, accepted))
        if len(self._tasks) == 0:
            self._tasks.spawn(self._sweep(), "connection-sweep")

    def _on_accepted(
        self, own: socket.socket, remote_ip: str, public: bool
    ) -> None:
        limit = self._max_connections
        if self.connections >= limit + _REFUSED_CONNECTIONS:
            self._metrics.result(codes.Code.TOO_MANY_CONNECTIONS)
            own.close()
            return
        opened = self._open(own, public)
        opened.set_nodelay(True)
        added = reader.Connection(opened, remote_ip, public, self._clock)
        added.over_limit = self.connections >= limit
        self._connections.add(added)
        self._tasks.spawn(self._run(added), "connection")

    def _open(self, own: socket.socket, public: bool) -> stream.ListenerStream:
        cls = stream.ListenerStream
        if public and self._tls is not None:
            cls = stream.TlsListenerStream
            own = netutil.ssl_wrap_socket(
                own,
                self._tls.context,
                server_side=True,
                do_handshake_on_connect=False,
            )
        return cls(own, self._clock, self._metrics.result, _STREAM_BUFFER_BYTES)

    async def _run(self, own: reader.Connection) -> None:
        try:
            if isinstance(own.stream, stream.TlsListenerStream):
                await own.stream.wait_for_handshake()
            while not own.stream.closed():
                await self._read_one(own)
        except (iostream.StreamClosedError, OSError, ssl.SSLError):
            pass
        finally:
            own.stream.close()
            self._connections.discard(own)

    async def _read_one(self, own: reader.Connection) -> None:
        own.stream.began = None
        own.stream.reading_head = True
        own.enter(reader.State.READING)
        http = connection.RequestConnection(
            own.stream, False, connection.PARAMETERS
        )
        collector = reader.RequestReader(self, own, http)
        with contextlib.suppress(iostream.UnsatisfiableReadError):
            if not await http.read_response(collector):
                own.stream.close_gently()
        # Requests that wait in the buffer must not starve other connections.
        await asyncio.sleep(0)

    def check(
        self, own: reader.Connection, request: requests.Request
    ) -> codes.Code | None:
        """Checks the head of a request."""
        if own.over_limit:
            request.connection.close_after()
            return codes.Code.TOO_MANY_CONNECTIONS
        return self._handler.check(request)

    def take_bytes(self, count: int) -> bool:
        """Takes memory for a part of a body; False if there is none left."""
        if self._body_bytes + count > MAX_BODIES_BYTES:
            return False
        self._body_bytes += count
        return True

    def give_bytes(self, count: int) -> None:
        """Gives memory of a body back."""
        self._body_bytes -= count

    def spawn(self, request: requests.Request, taken: int) -> None:
        """Starts to serve a request.

        Args:
            request: The whole request.
            taken: Bytes taken for its body.
        """
        self._requests.spawn(self._serve(request, taken), "request")

    async def _serve(self, request: requests.Request, taken: int) -> None:
        try:
            await self._handler.serve(request)
        except Exception:
            request.connection.close()
            raise
        finally:
            self.give_bytes(taken)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            for own in list(self._connections):
                self._end_if_slow(own, now)

    def _end_if_slow(self, own: reader.Connection, now: float) -> None:
        if own.state is reader.State.HANDSHAKE:
            if now - own.since > HANDSHAKE_TIMEOUT_S:
                own.stream.close()
        elif own.state is reader.State.READING:
            began = own.stream.began
            if began is None:
                if now - own.since > IDLE_TIMEOUT_S:
                    own.stream.close_gently()
                return
            limit = HEAD_TIMEOUT_S
            if not own.stream.reading_head:
                limit = BODY_TIMEOUT_S
            if now - began > limit:
                own.stream.refuse(codes.Code.REQUEST_TOO_SLOW)

    async def stop_accepting(self) -> None:
        """Ends the listeners without cutting a connection that is opening."""
        self._draining = True
        for one in self._acceptors:
            one.refuse_new()
        await asyncio.sleep(acceptor.SETTLE_S)
        for one in self._acceptors:
            one.close()

    def close_idle(self, idle_s: float) -> None:
        """Closes the connections that were idle for a time.

        Args:
            idle_s: Least time without a byte, in s.
        """
        now = self._clock.monotonic()
        for own in list(self._connections):
            if own.idle and now - own.since >= idle_s and not _readable(own):
                own.stream.close_gently()

    async def close(self) -> None:
        """Closes all that is left."""
        for one in self._acceptors:
            one.close()
        for own in list(self._connections):
            own.stream.close_gently()
        await self._tasks.cancel()
        await self._requests.cancel()
        await stream.lingered()


def _readable(own: reader.Connection) -> bool:
    """Tells whether bytes wait that the loop hasn't read yet."""
    try:
        return bool(own.stream.socket.recv(1, socket.MSG_PEEK))
    except (BlockingIOError, ValueError):
        return False
    except OSError:
        return False
