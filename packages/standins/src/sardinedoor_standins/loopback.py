"""Real ingress listeners on loopback with a fake forwarder."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from tornado import netutil

from sardinedoor_node import metrics
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import listener
from sardinedoor_node.settings import store
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sardinedoor_node.ingress import tls

HOST = b"Host: h\r\n"
_IDLE_TIMEOUT_S = 0.3
_READ_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Response:
    """A response as read from the connection.

    Attributes:
        status: Status code; 0 if the connection had no complete head.
        fields: Header fields in order, names in lower case.
        rest: All bytes after the head, with any further responses.
        closed: Whether the node closed the connection.
    """

    status: int
    fields: list[tuple[str, str]]
    rest: bytes
    closed: bool

    def get(self, name: str) -> str:
        """Returns the first value of a header field, "" if it is absent."""
        return next((v for n, v in self.fields if n == name), "")

    @property
    def code(self) -> int:
        """The result code; 0 if the header is absent."""
        return int(self.get("sardinedoor-code") or 0)


class RecordingForwarder:
    """Fake forwarder that records each job and returns a canned result."""

    def __init__(self) -> None:
        self.jobs: list[forward.Job] = []
        self.status = 200
        self.headers: list[wire.Header] = []
        self.body = b"whole\n"
        self.delay_s = 0.0
        self.refusal: forward.ForwardResult | None = None

    async def forward(self, job: forward.Job) -> forward.ForwardResult:
        """Records the job and returns the canned result after `delay_s`."""
        self.jobs.append(job)
        await asyncio.sleep(self.delay_s)
        if self.refusal is not None:
            return self.refusal
        reply = wire.Reply(
            b"", self.status, len(self.body), b"", self.headers, self.body
        )
        return forward.ForwardResult(codes.Code.ANSWERED, "permits-0", reply)


class LoopbackIngress:
    """Ingress role of a node without the other parts of the daemon."""

    def __init__(
        self,
        settings: str,
        max_connections: int = 100,
        tls_context: tls.TlsContext | None = None,
    ):
        """Opens the listeners; needs a running loop.

        Args:
            settings: The subtree of team `t`.
            max_connections: Limit of concurrent connections.
            tls_context: Certificate of the public listener.
        """
        self.forwarder = RecordingForwarder()
        self.metrics = metrics.Metrics()
        settings_store = store.SettingsStore()
        self.ingress = listener.Ingress(
            settings_store,
            self.forwarder,
            self.metrics,
            clock.SystemClock(),
            max_connections,
            tls_context,
        )
        self.ingress.starting = False
        if not settings_store.apply(platform.Subtree("t", 1, settings)):
            raise ValueError(settings_store.refused)
        self.public = self._listen(True)
        self.internal = self._listen(False)

    def _listen(self, public: bool) -> str:
        (bound_socket,) = netutil.bind_sockets(0, "127.0.0.1")
        address = f"127.0.0.1:{bound_socket.getsockname()[1]}"
        bound_socket.close()
        self.ingress.listen(address, public)
        return address

    async def open(
        self, public: bool = True
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a TCP connection to the public or the internal listener."""
        host, _, port = (self.public if public else self.internal).rpartition(
            ":"
        )
        return await asyncio.open_connection(host, int(port))

    async def send(self, raw: bytes, public: bool = True) -> Response:
        """Sends bytes on a new connection and reads the response.

        Args:
            raw: All bytes to send.
            public: Whether to use the public listener.

        Returns:
            The first response, and all that followed until the connection
            was closed or idle.
        """
        reader, writer = await self.open(public)
        try:
            writer.write(raw)
            return await read_response(reader)
        finally:
            writer.close()

    async def close(self) -> None:
        """Closes the listeners and all connections."""
        await self.ingress.server.close()


async def run_case(
    settings: str,
    case: Callable[[LoopbackIngress], Awaitable[None]],
    max_connections: int = 100,
) -> None:
    """Runs a test case on a new ingress, and closes it afterwards.

    Args:
        settings: The subtree of team `t`.
        case: Test case that gets the ingress.
        max_connections: Limit of concurrent connections.
    """
    ingress = LoopbackIngress(settings, max_connections)
    try:
        await case(ingress)
    finally:
        await ingress.close()


def get(path: bytes = b"/p", extra_fields: bytes = b"") -> bytes:
    """Returns a GET request with additional header lines."""
    return b"GET " + path + b" HTTP/1.1\r\n" + HOST + extra_fields + b"\r\n"


def post(extra_fields: bytes, body: bytes = b"") -> bytes:
    """Returns a POST request with additional header lines and a body."""
    return b"POST /p HTTP/1.1\r\n" + HOST + extra_fields + b"\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads until the connection is closed or idle, and parses the data."""
    data = b""
    closed = False
    while True:
        try:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                chunk = await reader.read(_READ_BYTES)
        except TimeoutError:
            break
        except OSError:
            closed = True
            break
        if not chunk:
            closed = True
            break
        data += chunk
    return parse(data, closed)


def parse(data: bytes, closed: bool = True) -> Response:
    """Parses the first response in the data."""
    head, mark, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    if not mark:
        return Response(0, [], data, closed)
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.lower(), value.strip()))
    return Response(int(lines[0].split(" ")[1]), fields, rest, closed)
