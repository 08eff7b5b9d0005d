"""Targets that send bytes without end, which are no answer."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import testtools

from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what is repeated until the connection is closed.
_KINDS = {
    "status line": (b"HTTP/1.1 200 ", b"a" * 997),
    "no HTTP": (b"", b"\x00\xff" * 499),
    "header line": (_HEAD + b"X-Long: ", b"a" * 997),
    "headers": (_HEAD, b"X-Many: 1\r\n" * 90),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 40),
    "chunk size": (_CHUNKED, b"0" * 997),
    "chunk extension": (_CHUNKED + b"1;", b"x=y;" * 249),
    "chunked body": (_CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n"),
    "trailers": (_CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n" * 70),
    "body without length": (_HEAD + b"\r\n", b"a" * 997),
    "body past its length": (
        _HEAD + b"Content-Length: 10\r\n\r\n" + b"b" * 10,
        b"a" * 997,
    ),
    "long body": (_HEAD + b"Content-Length: 999999999999\r\n\r\n", b"a" * 997),
}
# These hold a whole answer, after which the bytes go on.
_ANSWERED = {"body past its length"}
_DEADLINE_S = 3.0
# Tracing of memory slows the process down several times.
_TRACED_DEADLINE_S = 60.0
_TRICKLE_DEADLINE_S = 0.4
_TRICKLE_INTERVAL_S = 0.05
_SLOTS = 3
# At each slot: the largest answer, once as chunks and once joined.
_MAX_BYTES_PER_EXCHANGE = 3 * target.MAX_REPLY_BYTES
_MAX_LAG_S = 0.25


class _EndlessServer:
    """Repeats bytes until the peer closes."""

    def __init__(self, kind: str, interval_s: float):
        self._first, self._repeated = _KINDS[kind]
        self._interval_s = interval_s
        self.open_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._first)
            while True:
                if self._interval_s:
                    for byte in self._repeated:
                        writer.write(bytes([byte]))
                        await writer.drain()
                        await asyncio.sleep(self._interval_s)
                writer.write(self._repeated * 16)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


class _LagMeter:
    """Measures how long the event loop was held at most."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        while True:
            before = time.perf_counter()
            await asyncio.sleep(0.005)
            lag_s = time.perf_counter() - before - 0.005
            self.longest_s = max(self.longest_s, lag_s)


async def _play(
    kind: str, interval_s: float, deadline_s: float
) -> tuple[list[target.TargetReply], _EndlessServer, float]:
    server = _EndlessServer(kind, interval_s)
    listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    client = target.TargetClient(f"{host}:{port}")
    meter = _LagMeter()
    measuring = asyncio.create_task(meter.run())
    try:
        replies = await asyncio.gather(
            *(
                client.run(wire.Request("POST", "/x"), False, deadline_s)
                for _ in range(_SLOTS)
            )
        )
        async with asyncio.timeout(1):
            while server.open_connections:
                await asyncio.sleep(0.01)
    finally:
        measuring.cancel()
        client.close()
        listening.close()
    return replies, server, meter.longest_s


class EndlessTest(testtools.TestCase):
    def _check(self, kind: str, replies: list[target.TargetReply]) -> None:
        for reply in replies:
            if kind in _ANSWERED:
                self.assertEqual(codes.Code.ANSWERED, reply.code, kind)
                self.assertEqual(10, len(reply.body))
            else:
                self.assertIs(
                    codes.Outcome.UNKNOWN, codes.outcome(reply.code), kind
                )

    def test_fast_bytes_end_the_request_before_its_deadline(self):
        for kind in _KINDS:
            started_at = time.monotonic()
            replies, _, lag_s = asyncio.run(_play(kind, 0.0, _DEADLINE_S))
            took_s = time.monotonic() - started_at
            self._check(kind, replies)
            self.assertLess(took_s, _DEADLINE_S, kind)
            self.assertLess(lag_s, _MAX_LAG_S, kind)

    def test_fast_bytes_take_bounded_memory(self):
        for kind in _KINDS:
            tracemalloc.start()
            replies, _, _ = asyncio.run(_play(kind, 0.0, _TRACED_DEADLINE_S))
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self._check(kind, replies)
            self.assertNotIn(
                codes.Code.TARGET_TIMEOUT, [r.code for r in replies], kind
            )
            self.assertLess(peak, _SLOTS * _MAX_BYTES_PER_EXCHANGE, kind)

    def test_trickled_bytes_end_the_request_at_its_deadline(self):
        for kind in _KINDS:
            started_at = time.monotonic()
            replies, _, _ = asyncio.run(
                _play(kind, _TRICKLE_INTERVAL_S, _TRICKLE_DEADLINE_S)
            )
            self._check(kind, replies)
            self.assertLess(
                time.monotonic() - started_at, _TRICKLE_DEADLINE_S + 0.5, kind
            )
