"""HTTP client for one worker."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import socket
from typing import TYPE_CHECKING

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from sardinedoor_node import owner
from sardinedoor_node.owner import announcements
from sardinedoor_node.owner import connections
from sardinedoor_node.owner import dialect
from sardinedoor_node.owner import replymemory
from sardinedoor_node.util import octets
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from sardinedoor_schema.generated import wire

CONNECT_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_S = 1.0
# A worker that exits may still accept a connection for this long.
EXIT_RECHECK_S = 0.05
# After a slow response on a new connection, the silence timeout of reused
# connections is suspended for this long.
SLOW_PERIOD_S = 10.0
MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
_CHUNK_BYTES = 64 * 1024
# Statuses of final responses; HTTP has no others.
_FINAL_STATUSES = range(200, 600)
# Responses to earlier requests that may precede the awaited one.
_MAX_STRAY_RESPONSES = 3
# On a reused connection, these failures may be due to the connection.
_CONNECTION_FAULTS = frozenset(
    {
        codes.Code.TARGET_TIMEOUT,
        codes.Code.TARGET_CONNECTION_LOST,
        codes.Code.REPLY_TRUNCATED,
    }
)
_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    chunk_size=_CHUNK_BYTES,
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_REPLY_BYTES,
)


@dataclasses.dataclass(slots=True)
class TargetReply:
    """A complete response, or the code of the failure.

    Attributes:
        code: Result of the request.
        may_be_stale_connection: Whether the failure may be due to a reused
            connection, so that it is no evidence of the target's health.
        status: HTTP status of the response.
        headers: Headers of the response.
        body: Body of the response.
        announcement: What the worker announces in the headers.
        memory: Memory of the body; to be released once it is handed over.
    """

    code: codes.Code
    may_be_stale_connection: bool = False
    status: int = 0
    headers: httputil.HTTPHeaders = dataclasses.field(
        default_factory=httputil.HTTPHeaders
    )
    body: bytes = b""
    announcement: announcements.Announcement = dataclasses.field(
        default_factory=announcements.Announcement
    )
    memory: replymemory.ReplyShare | None = None


class _ResponseCollector(httputil.HTTPMessageDelegate):
    """Accumulates the parts of one response.

    Attributes:
        finished: Whether the response is complete.
        must_close: Whether the connection can't be reused.
        memory: Memory of its body.
    """

    def __init__(self, share: replymemory.ReplyShare) -> None:
        self.memory = share
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False
        self.must_close = False

    def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.chunks.append(chunk)
        # The connection isn't read on until there is memory.
        return self.memory.reserve(len(chunk))

    def finish(self) -> None:
        self.finished = True


def _has_explicit_end(collector: _ResponseCollector) -> bool:
    """Returns whether a response ends other than by closing the connection."""
    if collector.status in (204, 304):
        return True
    headers = collector.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


class TargetClient(owner.Client):
    """Sends requests to one worker over HTTP/1.1.

    A request that isn't idempotent is sent once, on a new connection unless a
    connection was in use a moment ago. An idempotent one may reuse any idle
    connection. If the target doesn't respond on it within the silence timeout,
    all idle connections are closed and the request is sent once more, on a new
    one.

    A connection is reused only while each response on it names its request, so
    that a second copy of an earlier response is never taken for the awaited
    one.
    """

    def __init__(
        self,
        address: str,
        target_dialect: dialect.TargetDialect | None = None,
        max_reuse_idle_s: float = 0.0,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ):
        """Stores the options; opens no connection.

        Args:
            address: IP address and port of the worker.
            target_dialect: Interprets responses; plain HTTP by default.
            max_reuse_idle_s: Idle time, in s, below which a connection may
                carry a request that isn't idempotent; 0 for never.
            silence_timeout_s: Time without a response on a reused connection,
                in s, after which an idempotent request is sent on a new one.
        """
        self._dialect = target_dialect or dialect.PlainDialect()
        self._max_reuse_idle_s = max_reuse_idle_s
        self._silence_timeout_s = silence_timeout_s
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._address = address
        self._pool = connections.ConnectionPool()
        self.reply_memory = replymemory.ReplyMemory(math.inf)
        self._slow_until = 0.0

    @property
    def max_idle(self) -> int:
        """Largest number of idle connections kept open."""
        return self._pool.max_idle

    @max_idle.setter
    def max_idle(self, limit: int) -> None:
        self._pool.max_idle = limit

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> TargetReply:
        """See base class."""
        now = asyncio.get_running_loop().time()
        deadline = now + remaining_s
        connection = self._pool.pop(
            math.inf if idempotent else self._max_reuse_idle_s,
            self._dialect.request_id(request),
        )
        if connection is None:
            return await self._run_on_new_connection(request, deadline)
        silence_deadline = deadline
        if now >= self._slow_until:
            silence_deadline = min(deadline, now + self._silence_timeout_s)
        reply = await self._run_on(connection, request, silence_deadline)
        if reply.code not in _CONNECTION_FAULTS:
            return reply
        reply.may_be_stale_connection = True
        if reply.code != codes.Code.TARGET_TIMEOUT:
            return reply
        # Later requests use new connections, on which a timeout is evidence
        # against the target.
        self.close()
        if silence_deadline == deadline:
            return reply
        retried = await self._run_on_new_connection(request, deadline)
        if codes.outcome(retried.code) is codes.Outcome.NOT_RUN:
            return reply
        return retried

    async def _run_on_new_connection(
        self, request: wire.Request, deadline: float
    ) -> TargetReply:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        stream = await self._connect(
            min(CONNECT_TIMEOUT_S, deadline - started_at)
        )
        if stream is None:
            return TargetReply(codes.Code.CONNECT_FAILED)
        if loop.time() >= deadline:
            stream.close()
            return TargetReply(codes.Code.DEADLINE_EXPIRED)
        reply = await self._run_on(
            connections.Connection(stream), request, deadline
        )
        if loop.time() - started_at > SILENCE_TIMEOUT_S:
            # New connections are as slow, so the target is the cause and
            # a retry on another connection would not help.
            self._slow_until = loop.time() + SLOW_PERIOD_S
        return reply

    async def _run_on(
        self,
        connection: connections.Connection,
        request: wire.Request,
        deadline: float,
    ) -> TargetReply:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._send_and_receive(connection, request)
        except TimeoutError:
            connection.stream.close()
            return TargetReply(codes.Code.TARGET_TIMEOUT)
        except BaseException:
            connection.stream.close()
            raise

    async def _connect(self, timeout_s: float) -> iostream.IOStream | None:
        # Tornado's TCPClient would resolve the IP address in a thread.
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        stream = iostream.IOStream(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((self._host, self._port))
        except (OSError, TimeoutError, iostream.StreamClosedError):
            stream.close()
            return None
        stream.set_nodelay(True)
        return stream

    async def _send_and_receive(
        self, connection: connections.Connection, request: wire.Request
    ) -> TargetReply:
        stream = connection.stream
        http_connection = http1connection.HTTP1Connection(
            stream, True, _PARAMETERS
        )
        # Tornado encodes the request line as UTF-8. Ingresses refuse targets that
        # this can't write, except those of an older version.
        path = octets.decode_utf8(request.path) or request.path
        start_line = httputil.RequestStartLine(request.method, path, "HTTP/1.1")
        # The response is read concurrently: the target may send it before it
        # has read a long body.
        written = http_connection.write_headers(
            start_line, self._request_headers(request), request.body or None
        )
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        http_connection.finish()
        collector = await self._read_response(http_connection)
        for _ in range(_MAX_STRAY_RESPONSES):
            if not collector.finished or self._is_response_to(
                connection, request, collector.headers
            ):
                break
            next_response = http1connection.HTTP1Connection(
                stream, True, _PARAMETERS
            )
            collector.memory.end()
            # No request is written on this one. Without `finish`, reading
            # would wait until one is.
            next_response.finish()
            collector = await self._read_response(next_response)
        else:
            collector.finished = False
        if not written.done():
            collector.must_close = True
        request_id = self._dialect.request_id(request)
        answered_id = self._dialect.answered_id(collector.headers)
        if not answered_id or answered_id != request_id:
            collector.must_close = True
        connection.request_ids.add(request_id)
        return self._to_reply(connection, collector)

    def _is_response_to(
        self,
        connection: connections.Connection,
        request: wire.Request,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Returns whether a response answers the request just sent."""
        answered_id = self._dialect.answered_id(headers)
        is_reused = bool(connection.request_ids)
        if answered_id or is_reused or self._dialect.requires_answered_id:
            request_id = self._dialect.request_id(request)
            return bool(answered_id) and answered_id == request_id
        return True

    async def _read_response(
        self, connection: http1connection.HTTP1Connection
    ) -> _ResponseCollector:
        stream = connection.stream
        collector = _ResponseCollector(self.reply_memory.begin())
        try:
            await connection.read_response(collector)
        except (OSError, iostream.StreamClosedError, httputil.HTTPInputError):
            collector.finished = False
        finally:
            if not collector.finished:
                collector.memory.end()
        if collector.finished and not _has_explicit_end(collector):
            # Tornado treats a connection reset as the end of the response.
            collector.finished = stream.error is None
            collector.must_close = True
        return collector

    def _request_headers(self, request: wire.Request) -> httputil.HTTPHeaders:
        headers = httputil.HTTPHeaders()
        for header in request.headers:
            headers.add(header.name, header.value)
        headers["Host"] = headers.get("Host", self._address)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def _to_reply(
        self, connection: connections.Connection, collector: _ResponseCollector
    ) -> TargetReply:
        stream = connection.stream
        if not collector.finished:
            collector.memory.end()
            stream.close()
            if collector.status:
                return TargetReply(codes.Code.REPLY_TRUNCATED)
            return TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        if collector.status not in _FINAL_STATUSES:
            # No header of such a response can be relied on.
            collector.memory.end()
            stream.close()
            return TargetReply(codes.Code.REPLY_INVALID)
        connection_option = collector.headers.get("Connection", "")
        if collector.must_close or connection_option.lower() == "close":
            stream.close()
        elif not stream.closed():
            idle_timeout_s = self._dialect.idle_timeout_s(collector.headers)
            self._pool.add(connection, idle_timeout_s)
        return TargetReply(
            self._dialect.classify_response(
                collector.status, collector.headers
            ),
            status=collector.status,
            headers=collector.headers,
            body=b"".join(collector.chunks),
            announcement=self._dialect.announcement(collector.headers),
            memory=collector.memory,
        )

    async def is_listening(self) -> bool:
        """See base class."""
        for delay_s in (0.0, EXIT_RECHECK_S):
            # A process that exits closes its sockets one after another.
            await asyncio.sleep(delay_s)
            stream = await self._connect(CONNECT_TIMEOUT_S)
            if stream is None:
                return False
            stream.close()
        return True

    def close(self) -> None:
        """See base class."""
        self._pool.close()
