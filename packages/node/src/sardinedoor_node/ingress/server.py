"""HTTP server of the ingress: listeners, connections and their timeouts."""

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
from sardinedoor_node.ingress import buffers
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

HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
HANDSHAKE_TIMEOUT_S = 10.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
# Connections above the limit whose requests are refused with a result code; any
# further ones are closed without a response.
_MAX_REFUSED_CONNECTIONS = 64
_STREAM_BUFFER_BYTES = 256 * 1024
# Shorter responses fit into the socket's buffer.
_SMALL_RESPONSE_BYTES = 16 * 1024
_BACKLOG = 1024


class Server:
    """Listeners of one node and the connections accepted by them."""

    def __init__(
        self,
        handler: requests.Handler,
        counters: metrics.Metrics,
        time: clock.Clock,
        limits: buffers.BufferLimits,
        tls_context: tls.TlsContext | None = None,
    ):
        """Creates a server without listeners.

        Args:
            handler: Checks and serves the requests.
            counters: Counts the requests and connections refused here.
            time: The clock, for the timeouts.
            limits: What is held for callers at most.
            tls_context: TLS context of the public listeners; None if they use
                plain HTTP.
        """
        self._handler = handler
        self._metrics = counters
        self._clock = time
        self._limits = limits
        self._tls = tls_context
        self._acceptors: list[acceptor.Acceptor] = []
        self._connections: set[reader.CallerConnection] = set()
        self._connection_tasks = tasks.TaskGroup()
        self._request_tasks = tasks.TaskGroup()
        self._body_bytes = 0
        self._draining = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def request_count(self) -> int:
        """Number of requests that are being read or served."""
        reading = sum(
            1
            for caller_connection in self._connections
            if not caller_connection.idle
            and caller_connection.state is not reader.State.SERVING
        )
        return reading + len(self._request_tasks)

    @property
    def max_body_bytes(self) -> int:
        """Largest accepted size of a request body, in bytes."""
        return self._handler.max_body_bytes

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._draining

    def listen(self, address: str, public: bool) -> None:
        """Starts a listener.

        Args:
            address: IP address and port.
            public: Whether it accepts requests from outside.

        Raises:
            OSError: The address can't be bound.
        """
        host, _, port = address.rpartition(":")
        listening_sockets = netutil.bind_sockets(
            int(port), host.strip("[]"), backlog=_BACKLOG
        )

        def on_accept(accepted: socket.socket, remote_address: tuple) -> None:
            self._on_accepted(accepted, remote_address[0], public)

        for listening in listening_sockets:
            self._acceptors.append(acceptor.Acceptor(listening, on_accept))
        if len(self._connection_tasks) == 0:
            self._connection_tasks.spawn(
                self._close_slow_connections(), "connection-sweep"
            )

    def _on_accepted(
        self, accepted: socket.socket, remote_ip: str, public: bool
    ) -> None:
        limit = self._limits.connections
        while self.connection_count >= limit and self._close_longest_idle():
            pass
        if self.connection_count >= limit + _MAX_REFUSED_CONNECTIONS:
            self._metrics.result(codes.Code.TOO_MANY_CONNECTIONS)
            accepted.close()
            return
        caller_stream = self._make_stream(accepted, public)
        caller_stream.set_nodelay(True)
        caller_connection = reader.CallerConnection(
            caller_stream, remote_ip, public, self._clock
        )
        caller_connection.over_limit = self.connection_count >= limit
        self._connections.add(caller_connection)
        self._connection_tasks.spawn(
            self._serve_connection(caller_connection), "connection"
        )

    def _close_longest_idle(self) -> bool:
        """Closes the longest idle connection; returns False if there is none."""
        idle = buffers.longest_idle(self._connections, self._clock.monotonic())
        if idle is None:
            return False
        self._metrics.event("idle_connection_displaced")
        idle.stream.close_gracefully()
        self._connections.discard(idle)
        return True

    def _make_stream(
        self, accepted: socket.socket, public: bool
    ) -> stream.CallerStream:
        stream_class = stream.CallerStream
        if public and self._tls is not None:
            stream_class = stream.TlsCallerStream
            accepted = netutil.ssl_wrap_socket(
                accepted,
                self._tls.context,
                server_side=True,
                do_handshake_on_connect=False,
            )
        return stream_class(
            accepted, self._clock, self._metrics.result, _STREAM_BUFFER_BYTES
        )

    async def _serve_connection(
        self, caller_connection: reader.CallerConnection
    ) -> None:
        try:
            if isinstance(caller_connection.stream, stream.TlsCallerStream):
                await caller_connection.stream.wait_for_handshake()
            while not caller_connection.stream.closed():
                await self._read_request(caller_connection)
        except (iostream.StreamClosedError, OSError, ssl.SSLError):
            pass
        finally:
            caller_connection.stream.close()
            self._connections.discard(caller_connection)

    async def _read_request(
        self, caller_connection: reader.CallerConnection
    ) -> None:
        caller_connection.stream.message_started_at = None
        caller_connection.stream.reading_head = True
        caller_connection.enter_state(reader.State.READING)
        http_connection = connection.RequestConnection(
            caller_connection.stream, False, connection.CONNECTION_PARAMETERS
        )
        request_reader = reader.RequestReader(
            self, caller_connection, http_connection
        )
        with contextlib.suppress(iostream.UnsatisfiableReadError):
            if not await http_connection.read_response(request_reader):
                caller_connection.stream.close_gracefully()
        # Pipelined requests in the buffer are read without waiting; yield, so
        # that they don't starve other connections.
        await asyncio.sleep(0)

    def check(
        self,
        caller_connection: reader.CallerConnection,
        request: requests.Request,
    ) -> codes.Code | None:
        """Returns the code to refuse a request with; None to accept it.

        Called when its head was read.

        Args:
            caller_connection: Connection that it is read from.
            request: The request, without its body.
        """
        if caller_connection.over_limit:
            request.connection.close_after_response()
            return codes.Code.TOO_MANY_CONNECTIONS
        return self._handler.check(request)

    def reserve_body_bytes(self, count: int) -> bool:
        """Reserves memory for a part of a request body.

        Args:
            count: Number of bytes.

        Returns:
            Whether the limit for all bodies together allows it.
        """
        while self._body_bytes + count > self._limits.body_bytes:
            stalled = buffers.most_stalled_body(
                self._connections, self._clock.monotonic()
            )
            if stalled is None:
                return False
            self._metrics.event("stalled_body_displaced")
            self.release_body_bytes(stalled.body_bytes)
            stalled.body_bytes = 0
            stalled.stream.refuse(codes.Code.REQUEST_TOO_SLOW)
        self._body_bytes += count
        return True

    def release_body_bytes(self, count: int) -> None:
        """Releases reserved memory.

        Args:
            count: Number of bytes.
        """
        self._body_bytes -= count

    def reserve_response(self, request: requests.Request, count: int) -> None:
        """Makes room for a response that is about to be written.

        The callers that receive their responses most slowly are disconnected
        if the responses that aren't sent yet would exceed their limit.

        Args:
            request: The request that is answered.
            count: Length of the response, in bytes.
        """
        own = request.caller_connection
        if own is not None:
            own.begin_sending(count)
        if count < _SMALL_RESPONSE_BYTES:
            return
        others = [c for c in self._connections if c is not own]
        held = sum(c.held_bytes for c in others)
        excess = held + count - self._limits.unsent_bytes
        if excess <= 0:
            return
        for slow in buffers.slowest_receivers(
            others, excess, self._clock.monotonic()
        ):
            self._metrics.event("slow_receiver_closed")
            logger.warning(
                "slow receiver closed",
                extra={
                    "held_bytes": slow.held_bytes,
                    "limit_bytes": self._limits.unsent_bytes,
                },
            )
            slow.stream.close()

    def start_request(
        self, request: requests.Request, reserved_bytes: int
    ) -> None:
        """Starts a task that serves a request.

        Args:
            request: The request with its whole body.
            reserved_bytes: Memory reserved for its body, released at the end.
        """
        self._request_tasks.spawn(
            self._serve(request, reserved_bytes), "request"
        )

    async def _serve(
        self, request: requests.Request, reserved_bytes: int
    ) -> None:
        try:
            await self._handler.serve(request)
        except Exception:
            request.connection.close()
            raise
        finally:
            self.release_body_bytes(reserved_bytes)

    async def _close_slow_connections(self) -> None:
        while True:
            await self._clock.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            for caller_connection in list(self._connections):
                self._close_if_timed_out(caller_connection, now)

    def _close_if_timed_out(
        self, caller_connection: reader.CallerConnection, now: float
    ) -> None:
        if caller_connection.state is reader.State.HANDSHAKE:
            if now - caller_connection.state_since > HANDSHAKE_TIMEOUT_S:
                caller_connection.stream.close()
        elif caller_connection.state is reader.State.READING:
            message_started_at = caller_connection.stream.message_started_at
            if message_started_at is None:
                if now - caller_connection.state_since > IDLE_TIMEOUT_S:
                    caller_connection.stream.close_gracefully()
                return
            timeout_s = HEAD_TIMEOUT_S
            if not caller_connection.stream.reading_head:
                timeout_s = BODY_TIMEOUT_S
            if now - message_started_at > timeout_s:
                caller_connection.stream.refuse(codes.Code.REQUEST_TOO_SLOW)

    async def stop_accepting(self) -> None:
        """Closes the listeners without resetting connections being opened."""
        self._draining = True
        for listener in self._acceptors:
            listener.ignore_new_connections()
        await asyncio.sleep(acceptor.HANDSHAKE_WAIT_S)
        for listener in self._acceptors:
            listener.close()

    def close_idle(self, idle_s: float) -> None:
        """Closes keep-alive connections that wait for a request.

        Args:
            idle_s: Minimum time since the connection became idle, in s.
        """
        now = self._clock.monotonic()
        for caller_connection in list(self._connections):
            if (
                caller_connection.idle
                and now - caller_connection.state_since >= idle_s
                and not _has_unread_input(caller_connection)
            ):
                caller_connection.stream.close_gracefully()

    async def close(self) -> None:
        """Closes the listeners, ends all requests and closes the connections.

        The handler may still answer the requests that it is serving.
        """
        for listener in self._acceptors:
            listener.close()
        await self._request_tasks.cancel()
        for caller_connection in list(self._connections):
            caller_connection.stream.close_gracefully()
        await self._connection_tasks.cancel()
        await stream.wait_for_lingering()


def _has_unread_input(caller_connection: reader.CallerConnection) -> bool:
    """Returns whether the socket has bytes that weren't read yet."""
    try:
        return bool(caller_connection.stream.socket.recv(1, socket.MSG_PEEK))
    except (BlockingIOError, ValueError):
        return False
    except OSError:
        return False
