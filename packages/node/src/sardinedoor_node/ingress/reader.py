"""Reads requests from a caller's connection."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from tornado import httputil

from sardinedoor_node.ingress import heads
from sardinedoor_node.ingress import requests
from sardinedoor_node.ingress import stream
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.ingress import connection
    from sardinedoor_node.ingress import server
    from sardinedoor_node.util import clock


class State(enum.Enum):
    """What a connection is doing."""

    HANDSHAKE = "handshake"
    READING = "reading"
    SERVING = "serving"


class Connection:
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


class RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        listeners: server.Server,
        own: Connection,
        http: connection.RequestConnection,
    ):
        self._server = listeners
        self._own = own
        self._http = http
        self._request: requests.Request | None = None
        self._chunks = bytearray()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        request = requests.Request(
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
        if length and int(length) > self._server.max_body_bytes:
            self._http.refuse_body(codes.Code.BODY_TOO_LARGE)
        elif request.refusal is not None and "Expect" in headers:
            self._http.refuse_body(request.refusal)

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        if len(self._chunks) + len(chunk) > self._server.max_body_bytes:
            raise heads.HeadError(codes.Code.BODY_TOO_LARGE)
        if not self._server.take_bytes(len(chunk)):
            raise heads.HeadError(codes.Code.BODIES_OVER_LIMIT)
        self._chunks += chunk

    def finish(self) -> None:
        """See base class."""
        assert self._request is not None
        self._request.body = bytes(self._chunks)
        self._own.enter(State.SERVING)
        self._server.spawn(self._request, len(self._chunks))

    def on_connection_close(self) -> None:
        """See base class."""
        self._server.give_bytes(len(self._chunks))
