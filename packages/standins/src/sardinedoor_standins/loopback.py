"""A node's real listeners on loopback, in front of a recording forwarder."""

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
_QUIET_S = 0.3
_READ_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Response:
    """A response as it came off the connection.

    Attributes:
        status: Its status; 0 where the connection ended without one.
        fields: Header fields in order, names in lower case.
        rest: All bytes after the head.
        ended: Whether the node ended the connection.
    """

    status: int
    fields: list[tuple[str, str]]
    rest: bytes
    ended: bool

    def get(self, name: str) -> str:
        """Returns the first value of a header field, "" for none."""
        return next((v for n, v in self.fields if n == name), "")

    @property
    def code(self) -> int:
        """The result code, 0 for none."""
        return int(self.get("sardinedoor-code") or 0)


class RecordingForwarder:
    """Answers each job itself and keeps it."""

    def __init__(self) -> None:
        self.jobs: list[forward.Job] = []
        self.status = 200
        self.headers: list[wire.Header] = []
        self.body = b"whole\n"
        self.delay_s = 0.0

    async def forward(self, job: forward.Job) -> forward.ForwardResult:
        """Answers."""
        self.jobs.append(job)
        await asyncio.sleep(self.delay_s)
        reply = wire.Reply(
            b"", self.status, len(self.body), b"", self.headers, self.body
        )
        return forward.ForwardResult(codes.Code.ANSWERED, "permits-0", reply)


class LoopbackIngress:
    """The ingress of a node without the rest of it."""

    def __init__(
        self,
        settings: str,
        max_connections: int = 100,
        tls_context: tls.TlsContext | None = None,
    ):
        """Opens the listeners; needs a running loop.

        Args:
            settings: The subtree of team `t`.
            max_connections: Connections served at once.
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
        (found,) = netutil.bind_sockets(0, "127.0.0.1")
        address = f"127.0.0.1:{found.getsockname()[1]}"
        found.close()
        self.ingress.listen(address, public)
        return address

    async def open(
        self, public: bool = True
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        host, _, port = (self.public if public else self.internal).rpartition(
            ":"
        )
        return await asyncio.open_connection(host, int(port))

    async def send(self, raw: bytes, public: bool = True) -> Response:
        """Sends bytes on a fresh connection and reads what comes back.

        Args:
            raw: All bytes to send.
            public: Whether to use the public listener.

        Returns:
            The first response, read until the connection ended or was quiet.
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


async def use(
    settings: str,
    case: Callable[[LoopbackIngress], Awaitable[None]],
    max_connections: int = 100,
) -> None:
    """Runs a case on an ingress, which is closed at its end.

    Args:
        settings: The subtree of team `t`.
        case: Takes the ingress.
        max_connections: Connections served at once.
    """
    ingress = LoopbackIngress(settings, max_connections)
    try:
        await case(ingress)
    finally:
        await ingress.close()


def get(path: bytes = b"/p", more: bytes = b"") -> bytes:
    """Returns a GET with further header lines."""
    return b"GET " + path + b" HTTP/1.1\r\n" + HOST + more + b"\r\n"


def post(more: bytes, body: bytes = b"") -> bytes:
    """Returns a POST with further header lines and a body."""
    return b"POST /p HTTP/1.1\r\n" + HOST + more + b"\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads until the connection ends or is quiet."""
    data = b""
    ended = False
    while True:
        try:
            async with asyncio.timeout(_QUIET_S):
                more = await reader.read(_READ_BYTES)
        except TimeoutError:
            break
        except OSError:
            ended = True
            break
        if not more:
            ended = True
            break
        data += more
    return parse(data, ended)


def parse(data: bytes, ended: bool = True) -> Response:
    """Parses a response."""
    head, mark, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    if not mark:
        return Response(0, [], data, ended)
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.lower(), value.strip()))
    return Response(int(lines[0].split(" ")[1]), fields, rest, ended)
