"""Accepts callers' connections and reads requests from them."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import dataclasses
import enum
import logging
import socket
import ssl
from typing import TYPE_CHECKING

from tornado import httputil
from tornado import iostream
from tornado import netutil

from sardinedoor_node.ingress import acceptor
from sardinedoor_node.ingress import connection
from sardinedoor_node.ingress import heads
from sardinedoor_node.ingress import stream
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node.ingress import paths
    from sardinedoor_node.ingress import routes
    from sardinedoor_node.ingress import tls
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024
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


class State(enum.Enum):
    """What a connection is doing."""

    HANDSHAKE = "handshake"
    READING = "reading"
    SERVING = "serving"


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes:
        connection: Takes the response.
        method: Its method.
        raw_target: The target as received.
        headers: All headers as received.
        public: Whether it came from outside.
        remote_ip: The address it came from.
        secure: Whether its connection uses TLS.
        refusal: Code to refuse it with, found from the head alone.
        target: The normalised target.
        route: The route that serves it.
        body: The whole body.
    """

    connection: connection.RequestConnection
    method: str
    raw_target: str
    headers: httputil.HTTPHeaders
    public: bool
    remote_ip: str
    secure: bool
    refusal: codes.Code | None = None
    target: paths.Target | None = None
    route: routes.Route | None = None
    body: bytes = b""


class Handler(abc.ABC):
    """Serves requests."""

    @abc.abstractmethod
    def check(self, request: Request) -> codes.Code | None:
        """Checks a request from its head alone; returns a refusal."""

    @abc.abstractmethod
    async def serve(self, request: Request) -> None:
        """Responds to a request that was read whole."""


class _Connection:
    """One caller's connection."""

    __slots__ = (
        "_clock",
        "over_limit",
        "public",
        "remote_ip",
        "since",
        "state",
        "stream",
    )

    def __init__(
        self,
        own: stream.ListenerStream,
        remote_ip: str,
        public: bool,
        time: clock.Clock,
    ):
        self._clock = time
        self.stream = own
        self.remote_ip = remote_ip
        self.public = public
        self.over_limit = False
        self.state = State.HANDSHAKE
        self.since = self._clock.monotonic()

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request has come."""
        return self.state is State.READING and self.stream.began is None

    def enter(self, state: State) -> None:
        """Notes what the connection does from now on."""
        self.state = state
        self.since = self._clock.monotonic()


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        server: Server,
        own: _Connection,
        http: connection.RequestConnection,
    ):
        self._server = server
        self._own = own
        self._http = http
        self._request: Request | None = None
        self._chunks = bytearray()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        request = Request(
            self._http,
            start_line.method,
            start_line.path,
            headers,
            self._own.public,
            self._own.remote_ip,
            isinstance(self._own.stream, stream.TlsListenerStream),
        )
        self._request = request
        request.refusal = self._server.check(self._own, request)
        length = headers.get("Content-Length", "")
        if length and int(length) > MAX_BODY_BYTES:
            self._http.refuse_body(codes.Code.BODY_TOO_LARGE)
        elif request.refusal is not None and "Expect" in headers:
            self._http.refuse_body(request.refusal)

    def data_received(self, chunk: bytes) -> None:
        if len(self._chunks) + len(chunk) > MAX_BODY_BYTES:
            raise heads.HeadError(codes.Code.BODY_TOO_LARGE)
        if not self._server.take_bytes(len(chunk)):
            raise heads.HeadError(codes.Code.BODIES_OVER_LIMIT)
        self._chunks += chunk

    def finish(self) -> None:
        assert self._request is not None
        self._request.body = bytes(self._chunks)
        self._own.enter(State.SERVING)
        self._server.spawn(self._request, len(self._chunks))

    def on_connection_close(self) -> None:
        self._server.give_bytes(len(self._chunks))


class Server:
    """Listeners of one node, and the connections that callers opened."""

    def __init__(
        self,
        handler: Handler,
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
        self._connections: set[_Connection] = set()
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
            if not own.idle and own.state is not State.SERVING
        )
        return reading + len(self._requests)

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
        added = _Connection(opened, remote_ip, public, self._clock)
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

    async def _run(self, own: _Connection) -> None:
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

    async def _read_one(self, own: _Connection) -> None:
        own.stream.began = None
        own.stream.reading_head = True
        own.enter(State.READING)
        http = connection.RequestConnection(
            own.stream, False, connection.PARAMETERS
        )
        reader = _RequestReader(self, own, http)
        with contextlib.suppress(iostream.UnsatisfiableReadError):
            if not await http.read_response(reader):
                own.stream.close_gently()
        # Requests that wait in the buffer must not starve other connections.
        await asyncio.sleep(0)

    def check(self, own: _Connection, request: Request) -> codes.Code | None:
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

    def spawn(self, request: Request, taken: int) -> None:
        """Starts to serve a request.

        Args:
            request: The whole request.
            taken: Bytes taken for its body.
        """
        self._requests.spawn(self._serve(request, taken), "request")

    async def _serve(self, request: Request, taken: int) -> None:
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

    def _end_if_slow(self, own: _Connection, now: float) -> None:
        if own.state is State.HANDSHAKE:
            if now - own.since > HANDSHAKE_TIMEOUT_S:
                own.stream.close()
        elif own.state is State.READING:
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


def _readable(own: _Connection) -> bool:
    """Tells whether bytes wait that the loop hasn't read yet."""
    try:
        return bool(own.stream.socket.recv(1, socket.MSG_PEEK))
    except (BlockingIOError, ValueError):
        return False
    except OSError:
        return False
