"""Reading and writing of HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
import dataclasses

_LIMIT_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: The words of the start line.
        headers: Header values by name in lower case.
        body: The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message.

    Returns:
        The message; None if the connection ended before a complete one.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        message = Message(lines[0].split(" ", 2), {})
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                message.headers[name.lower()] = value.strip()
        if message.headers.get("transfer-encoding") == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def serialise(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message.

    Args:
        start: The start line.
        headers: Its headers without Content-Length.
        body: Its body.
    """
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to an IP address and port."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=_LIMIT_BYTES)
