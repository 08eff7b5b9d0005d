"""Targets that send an answer a second time on a connection in use again.

Each request gets its own answer or a failure, never the answer to another one.
"""

from __future__ import annotations

import asyncio
import dataclasses

import testtools

from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

_HEADER = "X-Request-Id"


def _answer(request_id: str, body: str, named: bool = True) -> bytes:
    name = f"{_HEADER}: {request_id}\r\n" if named else ""
    return (
        f"HTTP/1.1 200 OK\r\n{name}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


@dataclasses.dataclass(slots=True)
class _Row:
    """How the copy of the first answer arrives.

    Attributes:
        name: Name of the case.
        behind: Whether it follows the first answer at once.
        delay_s: Time after the first answer, in s, if nothing else triggers
            it; None for never.
        before: Whether it comes before the second answer, after the request.
        split: Whether it comes in two parts.
        named: Whether answers name their requests.
        same_id: Whether both requests have the same id.
        endless: Whether bytes without end follow it.
    """

    name: str
    behind: bool = False
    delay_s: float | None = None
    before: bool = False
    split: bool = False
    named: bool = True
    same_id: bool = False
    endless: bool = False


_ROWS = [
    _Row("right behind the first answer", behind=True),
    _Row("on the idle connection", delay_s=0.02),
    _Row("after the second request was sent", before=True),
    _Row("in two parts", before=True, split=True),
    _Row("without an id", before=True, named=False),
    _Row("right behind and without an id", behind=True, named=False),
    _Row("of a request with the same id", before=True, same_id=True),
    _Row("with an endless tail", before=True, endless=True),
]


class _CopyingTarget:
    """Answers each request with its path, and copies the first answer."""

    def __init__(self, row: _Row):
        self._row = row
        self._count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        row = self._row
        copy = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split()[1]
                request_id = head.partition(f"{_HEADER}: ")[2].split()[0]
                answer = _answer(request_id, path, row.named)
                self._count += 1
                if copy and row.before:
                    await self._send_copy(writer, copy)
                writer.write(answer)
                if self._count == 1:
                    copy = answer
                    if row.behind:
                        writer.write(copy)
                    if row.delay_s is not None:
                        await asyncio.sleep(row.delay_s)
                        writer.write(copy)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send_copy(
        self, writer: asyncio.StreamWriter, copy: bytes
    ) -> None:
        row = self._row
        if row.split:
            writer.write(copy[:25])
            await writer.drain()
            await asyncio.sleep(0.02)
            copy = copy[25:]
        writer.write(copy)
        while row.endless:
            writer.write(b"x" * 4096)
            await writer.drain()


async def _play(row: _Row, idempotent: bool) -> list[target.TargetReply]:
    listening = await asyncio.start_server(
        _CopyingTarget(row).serve, "127.0.0.1", 0
    )
    host, port = listening.sockets[0].getsockname()
    # Both kinds of requests reuse connections.
    client = target.TargetClient(f"{host}:{port}", max_reuse_idle_s=5.0)
    replies = []
    try:
        for number in (1, 2):
            request_id = "r" if row.same_id else f"r{number}"
            request = wire.Request(
                "GET", f"/{number}", [wire.Header(_HEADER, request_id)]
            )
            replies.append(await client.run(request, idempotent, 2.0))
            if row.delay_s is not None:
                await asyncio.sleep(2 * row.delay_s)
    finally:
        client.close()
        listening.close()
    return replies


class LateCopyTest(testtools.TestCase):
    def test_each_request_gets_its_own_answer_or_none(self):
        for row in _ROWS:
            for idempotent in (False, True):
                replies = asyncio.run(_play(row, idempotent))
                for number, reply in enumerate(replies, 1):
                    if reply.code is codes.Code.ANSWERED:
                        self.assertEqual(
                            f"/{number}".encode(), reply.body, row.name
                        )
                    else:
                        self.assertIs(
                            codes.Outcome.UNKNOWN, codes.outcome(reply.code)
                        )
                self.assertIs(codes.Code.ANSWERED, replies[0].code, row.name)
                if not row.endless:
                    self.assertIs(
                        codes.Code.ANSWERED, replies[1].code, row.name
                    )
