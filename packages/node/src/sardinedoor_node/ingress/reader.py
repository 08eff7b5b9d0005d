"""State of callers' connections, and the reading of requests from them."""

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
    """Phase of a connection; HANDSHAKE is the TLS handshake."""

    HANDSHAKE = "handshake"
    READING = "reading"
    SERVING = "serving"


class CallerConnection:
    """A caller's connection, whose requests are served one at a time.

    Attributes:
        stream: Its byte stream.
        remote_ip: IP address of the peer.
        public: Whether it was accepted by a public listener.
        over_limit: Whether it exceeds the limit of connections, so that its
            requests are refused.
        state: Its current phase.
        state_since: When that phase began, monotonic, in s.
        body_bytes: Bytes of a request body that has been read in part.
        body_progress_at: When a part of it was last read, monotonic, in s.
    """

    __slots__ = (
        "_clock",
        "_response_bytes",
        "_sending_from",
        "_sending_since",
        "body_bytes",
        "body_progress_at",
        "over_limit",
        "public",
        "remote_ip",
        "state",
        "state_since",
        "stream",
    )

    def __init__(
        self,
        caller_stream: stream.CallerStream,
        remote_ip: str,
        public: bool,
        time: clock.Clock,
    ):
        self._clock = time
        self.stream = caller_stream
        self.remote_ip = remote_ip
        self.public = public
        self.over_limit = False
        self.state = State.HANDSHAKE
        self.state_since = self._clock.monotonic()
        self.body_bytes = 0
        self.body_progress_at = self.state_since
        self._sending_since = self.state_since
        self._sending_from = 0
        self._response_bytes = 0

    def record_body_part(self, count: int) -> None:
        """Records that a part of a request body was read."""
        self.body_bytes += count
        self.body_progress_at = self._clock.monotonic()

    @property
    def held_bytes(self) -> int:
        """Bytes held for a response that isn't sent whole.

        The buffer of a response is released only when all of it was sent.
        """
        is_sending = self.stream.unsent_bytes and not self.stream.closed()
        return self._response_bytes if is_sending else 0

    def begin_sending(self, count: int) -> None:
        """Records that a response is about to be written.

        Args:
            count: Length of the response, in bytes.
        """
        self._response_bytes = count
        self._sending_since = self._clock.monotonic()
        self._sending_from = self.stream.sent_bytes

    def sending_rate(self, now: float) -> float:
        """Returns how fast the caller takes the response, in bytes/s."""
        sent = self.stream.sent_bytes - self._sending_from
        return sent / max(now - self._sending_since, 1e-3)

    @property
    def idle(self) -> bool:
        """Whether no byte of the next request was received."""
        return (
            self.state is State.READING
            and self.stream.message_started_at is None
        )

    def enter_state(self, state: State) -> None:
        """Enters a phase."""
        self.state = state
        self.state_since = self._clock.monotonic()


class RequestReader(httputil.HTTPMessageDelegate):
    """Receives one request from the HTTP parser and has it served."""

    def __init__(
        self,
        http_server: server.Server,
        caller_connection: CallerConnection,
        http_connection: connection.RequestConnection,
    ):
        self._server = http_server
        self._connection = caller_connection
        self._http_connection = http_connection
        self._request: requests.Request | None = None
        self._chunks = bytearray()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        request = requests.Request(
            self._http_connection,
            start_line.method,
            start_line.path,
            headers,
            self._connection.public,
            self._connection.remote_ip,
            isinstance(self._connection.stream, stream.TlsCallerStream),
        )
        request.caller_connection = self._connection
        self._request = request
        request.refusal = self._server.check(self._connection, request)
        length = headers.get("Content-Length", "")
        if length and int(length) > self._server.max_body_bytes:
            self._http_connection.refuse_body(codes.Code.BODY_TOO_LARGE)
        elif request.refusal is not None and "Expect" in headers:
            self._http_connection.refuse_body(request.refusal)

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        if len(self._chunks) + len(chunk) > self._server.max_body_bytes:
            raise heads.HeadError(codes.Code.BODY_TOO_LARGE)
        if not self._server.reserve_body_bytes(len(chunk)):
            raise heads.HeadError(codes.Code.BODIES_OVER_LIMIT)
        self._chunks += chunk
        self._connection.record_body_part(len(chunk))

    def finish(self) -> None:
        """See base class."""
        assert self._request is not None
        self._request.body = bytes(self._chunks)
        self._connection.body_bytes = 0
        self._connection.enter_state(State.SERVING)
        self._server.start_request(self._request, len(self._chunks))

    def on_connection_close(self) -> None:
        """See base class."""
        # It is 0 if the body was displaced and so is released already.
        self._server.release_body_bytes(self._connection.body_bytes)
        self._connection.body_bytes = 0
