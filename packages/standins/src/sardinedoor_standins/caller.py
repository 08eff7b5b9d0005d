"""HTTP caller with a keep-alive connection."""

from __future__ import annotations

import asyncio
import dataclasses
import enum


class Ending(enum.Enum):
    """How a request ended on the caller's side."""

    RESPONSE = "response"
    REFUSED = "refused"
    STALE = "stale"
    CUT = "cut"


@dataclasses.dataclass(slots=True)
class Result:
    """Result of one request.

    Attributes:
        ending: RESPONSE for a complete response; REFUSED if no connection
            could be opened; STALE if a reused connection was closed before
            the first byte of a response; CUT for any other loss.
        status: Status code of the response.
        headers: Headers of the response, with names in lower case; of a
            repeated header the last value.
        body: Body of the response.
    """

    ending: Ending
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


class Caller:
    """Keep-alive connection to one address that never retries a request."""

    def __init__(self, address: str):
        """Creates a caller without a connection.

        Args:
            address: IP address and port.
        """
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Result:
        """Sends a request and reads the response.

        The connection of the previous request is reused if it is still open.
        """
        reused = self._writer is not None and not self._is_closed()
        if not reused:
            self.close()
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    self._host, self._port
                )
            except OSError:
                return Result(Ending.REFUSED)
        response_started = False
        try:
            self._send(method, path, headers or {}, body)
            first = await self._reader.readexactly(1)
            response_started = True
            return await self._read_response(method, first)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            stale = reused and not response_started
            return Result(Ending.STALE if stale else Ending.CUT)

    def _is_closed(self) -> bool:
        return self._reader.at_eof() or self._writer.is_closing()

    def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._writer.write(head.encode() + body)

    async def _read_response(self, method: str, first: bytes) -> Result:
        head = first + await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = b""
        if method != "HEAD" and status not in (204, 304):
            length = int(headers.get("content-length", "0"))
            body = await self._reader.readexactly(length)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Result(Ending.RESPONSE, status, headers, body)

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
