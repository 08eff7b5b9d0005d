"""HTTP client for one worker; it never sends a request twice."""

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
from sardinedoor_node.owner import dialect
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire

CONNECT_TIMEOUT_S = 0.5
DEFAULT_MAX_IDLE = 3
SILENT_S = 1.0
EXIT_S = 0.05
SLOW_S = 10.0
MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
_CHUNK_BYTES = 64 * 1024
# Answers of earlier requests that may come before the one awaited.
_MAX_FOREIGN = 3
_ON_CONNECTION = frozenset(
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
    """A whole answer, or the code that tells why there is none.

    Attributes:
        code: What became of the request.
        suspects_connection: Whether a kept connection may be to blame for
            the lack of an answer, so that it says nothing of the target.
        status: HTTP status of the answer.
        headers: Headers of the answer.
        body: Body of the answer.
    """

    code: codes.Code
    suspects_connection: bool = False
    status: int = 0
    headers: httputil.HTTPHeaders = dataclasses.field(
        default_factory=httputil.HTTPHeaders
    )
    body: bytes = b""


class _Collector(httputil.HTTPMessageDelegate):
    """Collects one response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.finished = False
        self.closes = False

    def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True


@dataclasses.dataclass(slots=True)
class _Idle:
    """A kept connection; times are the loop's, in s."""

    stream: iostream.IOStream
    since: float
    until: float


def _has_input(stream: iostream.IOStream) -> bool:
    """Tells whether an idle connection has ended or holds stray bytes."""
    if stream.closed():
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return stream._read_buffer_size > 0
    except OSError:
        return True
    return True


def _is_framed(collector: _Collector) -> bool:
    """Tells whether an answer's end is marked by other than a close."""
    if collector.status in (204, 304):
        return True
    fields = collector.headers
    return "Content-Length" in fields or "Transfer-Encoding" in fields


class TargetClient(owner.Client):
    """Connections to one worker.

    A request that isn't idempotent takes a fresh connection and is sent once.
    An idempotent one may use a kept connection; if that is silent for
    `SILENT_S`, all kept ones are closed and the request is sent again on a
    fresh one.
    """

    def __init__(
        self,
        address: str,
        target_dialect: dialect.TargetDialect | None = None,
        reuse_s: float = 0.0,
        silent_s: float = SILENT_S,
    ):
        """Remembers the address.

        Args:
            address: IP number and port of the worker.
            target_dialect: How answers are read; by default plain.
            reuse_s: Longest idle time, in s, after which a connection may
                carry a request that isn't idempotent; 0 for never.
            silent_s: Silence on a kept connection, in s, after which an
                idempotent request is sent again on a fresh one.
        """
        self._dialect = target_dialect or dialect.PlainDialect()
        self._reuse_s = reuse_s
        self._silent_s = silent_s
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._address = address
        self._idle: list[_Idle] = []
        self.max_idle = DEFAULT_MAX_IDLE
        self._slow_until = 0.0

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> TargetReply:
        """See base class."""
        now = asyncio.get_running_loop().time()
        deadline = now + remaining_s
        stream = self._take_idle(math.inf if idempotent else self._reuse_s)
        if stream is None:
            return await self._run_fresh(request, deadline)
        silent = deadline
        if now >= self._slow_until:
            silent = min(deadline, now + self._silent_s)
        reply = await self._run_on(stream, request, silent)
        if reply.code not in _ON_CONNECTION:
            return reply
        reply.suspects_connection = True
        if reply.code != codes.Code.TARGET_TIMEOUT:
            return reply
        # A hanging target is blamed from the next request on.
        self.close()
        if silent == deadline:
            return reply
        again = await self._run_fresh(request, deadline)
        if codes.outcome(again.code) is codes.Outcome.NOT_RUN:
            return reply
        return again

    async def _run_fresh(
        self, request: wire.Request, deadline: float
    ) -> TargetReply:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        stream = await self._connect(min(CONNECT_TIMEOUT_S, deadline - begun))
        if stream is None:
            return TargetReply(codes.Code.CONNECT_FAILED)
        if loop.time() >= deadline:
            stream.close()
            return TargetReply(codes.Code.DEADLINE_EXPIRED)
        reply = await self._run_on(stream, request, deadline)
        if loop.time() - begun > SILENT_S:
            # Silence is the target's manner now, not a connection's.
            self._slow_until = loop.time() + SLOW_S
        return reply

    async def _run_on(
        self, stream: iostream.IOStream, request: wire.Request, end: float
    ) -> TargetReply:
        try:
            async with asyncio.timeout_at(end):
                return await self._exchange(stream, request)
        except TimeoutError:
            stream.close()
            return TargetReply(codes.Code.TARGET_TIMEOUT)
        except BaseException:
            stream.close()
            raise

    def _take_idle(self, longest_s: float) -> iostream.IOStream | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            kept = self._idle[-1]
            if now >= kept.until or _has_input(kept.stream):
                self._idle.pop().stream.close()
            elif now - kept.since >= longest_s:
                return None
            else:
                return self._idle.pop().stream
        return None

    async def _connect(self, timeout_s: float) -> iostream.IOStream | None:
        # No TCPClient: it asks a thread to resolve what is an IP number.
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

    async def _exchange(
        self, stream: iostream.IOStream, request: wire.Request
    ) -> TargetReply:
        connection = http1connection.HTTP1Connection(stream, True, _PARAMETERS)
        line = httputil.RequestStartLine(
            request.method, request.path, "HTTP/1.1"
        )
        # An early answer may come before a long body is read.
        written = connection.write_headers(
            line, self._headers(request), request.body or None
        )
        written.add_done_callback(lambda f: f.cancelled() or f.exception())
        connection.finish()
        collector = await self._read(connection)
        for _ in range(_MAX_FOREIGN):
            if not collector.finished or self._dialect.is_answer(
                request, collector.headers
            ):
                break
            again = http1connection.HTTP1Connection(stream, True, _PARAMETERS)
            # Nothing is written on it; unfinished, it would wait for that.
            again.finish()
            collector = await self._read(again)
        else:
            collector.finished = False
        if not written.done():
            collector.closes = True
        return self._result(stream, collector)

    async def _read(
        self, connection: http1connection.HTTP1Connection
    ) -> _Collector:
        stream = connection.stream
        collector = _Collector()
        try:
            await connection.read_response(collector)
        except (OSError, iostream.StreamClosedError, httputil.HTTPInputError):
            collector.finished = False
        if collector.finished and not _is_framed(collector):
            # The library takes a reset for the end of the answer.
            collector.finished = stream.error is None
            collector.closes = True
        return collector

    def _headers(self, request: wire.Request) -> httputil.HTTPHeaders:
        headers = httputil.HTTPHeaders()
        for header in request.headers:
            headers.add(header.name, header.value)
        headers["Host"] = headers.get("Host", self._address)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def _result(
        self, stream: iostream.IOStream, collector: _Collector
    ) -> TargetReply:
        if not collector.finished:
            stream.close()
            if collector.status:
                return TargetReply(codes.Code.REPLY_TRUNCATED)
            return TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        connection = collector.headers.get("Connection", "")
        full = len(self._idle) >= self.max_idle
        if full or collector.closes or connection.lower() == "close":
            stream.close()
        elif not stream.closed():
            now = asyncio.get_running_loop().time()
            until = now + self._dialect.keep_idle_s(collector.headers)
            self._idle.append(_Idle(stream, now, until))
        return TargetReply(
            self._dialect.judge(collector.status, collector.headers),
            status=collector.status,
            headers=collector.headers,
            body=b"".join(collector.chunks),
        )

    async def is_listening(self) -> bool:
        """See base class."""
        for delay_s in (0.0, EXIT_S):
            # A process that exits closes its sockets one by one.
            await asyncio.sleep(delay_s)
            stream = await self._connect(CONNECT_TIMEOUT_S)
            if stream is None:
                return False
            stream.close()
        return True

    def close(self) -> None:
        """See base class."""
        for kept in self._idle:
            kept.stream.close()
        self._idle.clear()
