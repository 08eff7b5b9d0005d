"""Contract of the client for targets, against real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import testtools

from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

_C = codes.Code
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_HANG = b"hang"


class _Server:
    """Answers the requests in turn from a script of raw bytes."""

    def __init__(self, script: list[bytes]):
        self.script = script
        self.requests: list[int] = []
        self.connections = 0
        self.address = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests.append(number)
                reply = self.script.pop(0)
                if reply == _HANG:
                    await asyncio.sleep(60)
                writer.write(reply)
                if not reply.endswith(b"ok"):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def _with_server(
    script: list[bytes],
    use: Callable[[target.TargetClient], Awaitable[None]],
) -> _Server:
    server = _Server(script)

    async def run() -> None:
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        client = target.TargetClient(f"{host}:{port}")
        try:
            await use(client)
        finally:
            client.close()
            listening.close()

    asyncio.run(run())
    return server


def _request(method: str) -> wire.Request:
    return wire.Request(method, "/x")


@dataclasses.dataclass(slots=True)
class _Row:
    name: str
    method: str
    script: list[bytes]
    code: codes.Code
    requests: list[int]
    remaining_s: float = 0.3


# The client has sent one GET before; `requests` tells on which connections
# the server saw the second request.
_ROWS = [
    _Row("reused", "GET", [_OK], _C.ANSWERED, [1]),
    _Row("reused, dies", "GET", [b""], _C.TARGET_CONNECTION_LOST, [1]),
    _Row("fresh", "POST", [_OK], _C.ANSWERED, [2]),
    _Row("fresh, dies", "POST", [b""], _C.TARGET_CONNECTION_LOST, [2]),
    _Row("cut in the head", "POST", [_OK[:20]], _C.TARGET_CONNECTION_LOST, [2]),
    _Row("cut in the body", "POST", [_OK[:-1]], _C.REPLY_TRUNCATED, [2]),
    _Row("cut before a chunk", "POST", [_CHUNKED], _C.REPLY_TRUNCATED, [2]),
    _Row(
        "cut in a chunk",
        "POST",
        [_CHUNKED + b"9\r\nabc"],
        _C.REPLY_TRUNCATED,
        [2],
    ),
    _Row("not HTTP", "POST", [b"?\r\n\r\n"], _C.TARGET_CONNECTION_LOST, [2]),
    _Row("hangs", "POST", [_HANG], _C.TARGET_TIMEOUT, [2]),
    _Row("no time left", "POST", [], _C.CONNECT_FAILED, [], 0.0),
]


class TargetClientTest(testtools.TestCase):
    def test_a_request_is_sent_at_most_once(self):
        for row in _ROWS:

            async def use(client, row=row):
                await client.run(_request("GET"), True, 1.0)
                reply = await client.run(
                    _request(row.method), row.method == "GET", row.remaining_s
                )
                self.assertEqual(row.code, reply.code, row.name)
                suspects = row.method == "GET" and row.code != _C.ANSWERED
                self.assertEqual(suspects, reply.suspects_connection)

            server = _with_server([_OK, *row.script], use)
            self.assertEqual([1, *row.requests], server.requests, row.name)

    def test_a_refused_connection_is_not_run(self):
        async def use(client):
            reply = await target.TargetClient("127.0.0.1:1").run(
                _request("POST"), False, 1.0
            )
            self.assertEqual(_C.CONNECT_FAILED, reply.code)

        _with_server([], use)

    def test_a_silent_kept_connection_is_replaced(self):
        async def use(client):
            await client.run(_request("GET"), True, 1.0)
            begun = asyncio.get_running_loop().time()
            reply = await client.run(_request("GET"), True, 5.0)
            took = asyncio.get_running_loop().time() - begun
            self.assertEqual(_C.ANSWERED, reply.code)
            self.assertLess(took, target.SILENT_S + 0.5)

        server = _with_server([_OK, _HANG, _OK], use)
        self.assertEqual([1, 1, 2], server.requests)

    def test_a_hanging_target_is_blamed_from_the_second_request_on(self):
        suspected = []

        async def use(client):
            await asyncio.gather(
                *(client.run(_request("GET"), True, 1.0) for _ in range(3))
            )
            for _ in range(3):
                reply = await client.run(_request("GET"), True, 0.1)
                self.assertEqual(_C.TARGET_TIMEOUT, reply.code)
                suspected.append(reply.suspects_connection)

        _with_server([_OK] * 3 + [_HANG] * 3, use)
        self.assertEqual([True, False, False], suspected)

    def test_listening(self):
        async def use(client):
            self.assertTrue(await client.is_listening())
            closed = target.TargetClient("127.0.0.1:1")
            self.assertFalse(await closed.is_listening())

        _with_server([], use)
