"""Contract of the caller interface, over raw connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import testtools

from sardinedoor_node.ingress import server
from sardinedoor_schema.generated import wire
from sardinedoor_standins import loopback

SETTINGS = """
[team]
name = t
[service permits]
workers = permits-0
[route permits]
service = permits
path = /p
visibility = public
timeout_ms = 5000
[route reads]
service = permits
path = /reads
visibility = public
methods = GET, HEAD
"""
_HOST = b"Host: h\r\n"
_MIB = 1024 * 1024


def _get(path: bytes = b"/p", more: bytes = b"") -> bytes:
    return b"GET " + path + b" HTTP/1.1\r\n" + _HOST + more + b"\r\n"


def _post(more: bytes, body: bytes = b"") -> bytes:
    return b"POST /p HTTP/1.1\r\n" + _HOST + more + b"\r\n" + body


# Name, bytes sent, expected status and result code.
WHOLE = [
    ("get", _get(), 200, 1000),
    ("query", _get(b"/p/7?a=%2F&b=c"), 200, 1000),
    ("post", _post(b"Content-Length: 3\r\n", b"fee"), 200, 1000),
    ("empty post", _post(b"Content-Length: 0\r\n"), 200, 1000),
    (
        "chunked",
        _post(
            b"Transfer-Encoding: chunked\r\n", b"2\r\nfe\r\n1\r\ne\r\n0\r\n\r\n"
        ),
        200,
        1000,
    ),
    ("http/1.0", b"GET /p HTTP/1.0\r\n\r\n", 200, 1000),
    ("options", _get().replace(b"GET", b"OPTIONS"), 200, 1000),
    ("long query", _get(b"/p?" + b"q" * 60_000), 200, 1000),
    ("no route", _get(b"/q"), 404, 2010),
    ("method", _get(b"/reads").replace(b"GET", b"DELETE"), 405, 2011),
    ("trace", _get().replace(b"GET", b"TRACE"), 405, 2011),
    ("asterisk", _get(b"*").replace(b"GET", b"OPTIONS"), 400, 2001),
    ("connect", _get(b"h:1").replace(b"GET", b"CONNECT"), 400, 2001),
    ("no host", b"GET /p HTTP/1.1\r\n\r\n", 400, 2001),
    ("two hosts", _get(more=_HOST), 400, 2001),
    ("http/2", b"PRI * HTTP/2.0\r\n\r\n", 400, 2001),
    ("http/0.9", b"GET /p\r\n\r\n", 400, 2001),
    ("not http", b"\x16\x03\x01\x00\xa5\x01\x00\r\n\r\n", 400, 2001),
    ("nul in value", _get(more=b"A: b\x00c\r\n"), 400, 2001),
    ("space before colon", _get(more=b"A : b\r\n"), 400, 2001),
    ("no colon", _get(more=b"Ab\r\n"), 400, 2001),
    ("fold", _get(more=b"A: b\r\n c\r\n"), 400, 2004),
    ("bare LF", _get(more=b"A: b\nC: d\r\n"), 400, 2004),
    ("bare CR", _get(more=b"A: b\rC: d\r\n"), 400, 2004),
    ("only LF", b"GET /p HTTP/1.1\nHost: h\n\n", 400, 2004),
    ("head size", _get(more=b"A: " + b"b" * 65_600 + b"\r\n"), 431, 2002),
    ("endless head", b"GET /p HTTP/1.1\r\nA: " + b"b" * 900_000, 431, 2002),
    ("header count", _get(more=b"A: b\r\n" * 300), 431, 2002),
    (
        "long key",
        _get(more=b"Idempotency-Key: " + b"k" * 256 + b"\r\n"),
        400,
        2001,
    ),
    (
        "two keys",
        _get(more=b"Idempotency-Key: k\r\nIdempotency-Key: l\r\n"),
        400,
        2001,
    ),
    ("body size", _post(b"Content-Length: 1048577\r\n"), 413, 2003),
    (
        "body sent",
        _post(b"Content-Length: 3145728\r\n", b"x" * 3 * _MIB),
        413,
        2003,
    ),
    (
        "chunked size",
        _post(
            b"Transfer-Encoding: chunked\r\n",
            b"200000\r\n" + b"x" * 2 * _MIB + b"\r\n0\r\n\r\n",
        ),
        413,
        2003,
    ),
    (
        "length and chunked",
        _post(
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"0\r\n\r\n",
        ),
        400,
        2004,
    ),
    (
        "two lengths",
        _post(b"Content-Length: 3\r\nContent-Length: 4\r\n", b"feee"),
        400,
        2004,
    ),
    (
        "same length twice",
        _post(b"Content-Length: 3\r\nContent-Length: 3\r\n", b"fee"),
        400,
        2004,
    ),
    ("length list", _post(b"Content-Length: 3, 3\r\n", b"fee"), 400, 2004),
    ("length +3", _post(b"Content-Length: +3\r\n", b"fee"), 400, 2004),
    ("length -3", _post(b"Content-Length: -3\r\n", b"fee"), 400, 2004),
    ("length 0x3", _post(b"Content-Length: 0x3\r\n", b"fee"), 400, 2004),
    ("length 3e0", _post(b"Content-Length: 3 0\r\n", b"fee"), 400, 2004),
    ("empty length", _post(b"Content-Length:\r\n"), 400, 2004),
    ("xchunked", _post(b"Transfer-Encoding: xchunked\r\n"), 400, 2004),
    ("gzip", _post(b"Transfer-Encoding: gzip, chunked\r\n"), 400, 2004),
    ("identity", _post(b"Transfer-Encoding: identity\r\n"), 400, 2004),
    (
        "chunked twice",
        _post(b"Transfer-Encoding: chunked\r\n" * 2, b"0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "chunked in 1.0",
        b"POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        2004,
    ),
    (
        "chunk size",
        _post(b"Transfer-Encoding: chunked\r\n", b"0x1\r\na\r\n0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "negative chunk",
        _post(b"Transfer-Encoding: chunked\r\n", b"-1\r\na\r\n0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "chunk end",
        _post(b"Transfer-Encoding: chunked\r\n", b"1\r\nabc0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "endless chunk line",
        _post(b"Transfer-Encoding: chunked\r\n", b"1;" + b"x" * 500),
        400,
        2004,
    ),
]

# Name, header lines, deadline expected in s.
DEADLINES = [
    ("route's own", b"", 5.0),
    ("shorter", b"X-Request-Timeout-Ms: 700\r\n", 0.7),
    ("longer", b"X-Request-Timeout-Ms: 90000\r\n", 5.0),
    ("prefer", b"Prefer: respond-async, wait=2\r\n", 2.0),
    ("both", b"Prefer: wait=2\r\nX-Request-Timeout-Ms: 900\r\n", 0.9),
    ("not a number", b"X-Request-Timeout-Ms: soon\r\n", 5.0),
    ("negative", b"X-Request-Timeout-Ms: -1\r\n", 5.0),
]


class CallerContractTest(testtools.TestCase):
    def _run(
        self,
        case: Callable[[loopback.LoopbackIngress], Awaitable[None]],
        max_connections: int = 100,
    ) -> None:
        async def run() -> None:
            ingress = loopback.LoopbackIngress(SETTINGS, max_connections)
            try:
                await case(ingress)
            finally:
                await ingress.close()

        with self.assertNoLogs(level="ERROR"):
            asyncio.run(run())

    def test_each_message_gets_its_status_and_code(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            async def one(name, raw, status, code):
                response = await ingress.send(raw)
                return name, (response.status, response.code)

            found = await asyncio.gather(*(one(*row) for row in WHOLE))
            expected = [(n, (s, c)) for n, _, s, c in WHOLE]
            self.assertEqual(expected, found)
            answered = sum(1 for row in WHOLE if row[3] == 1000)
            self.assertEqual(answered, len(ingress.forwarder.jobs))

        self._run(case)

    def test_a_refusal_names_outcome_and_id(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            response = await ingress.send(
                _get(b"/q", b"X-Request-Id: abc-1\r\n")
            )
            self.assertEqual("not-run", response.get("sardinedoor-outcome"))
            self.assertEqual("abc-1", response.get("x-request-id"))
            self.assertEqual(b"2010 no_route\n", response.rest)

        self._run(case)

    def test_an_unsafe_request_id_is_replaced(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            for given in (b'a"b', b"x" * 65, b"a b", b"\xe9", b""):
                response = await ingress.send(
                    _get(
                        more=b"Connection: close\r\nX-Request-Id: "
                        + given
                        + b"\r\n"
                    )
                )
                found = response.get("x-request-id")
                self.assertRegex(found, "^[0-9a-f]{16}$")
                passed = ingress.forwarder.jobs[-1].request.headers
                self.assertIn(wire.Header("X-Request-Id", found), passed)

        self._run(case)

    def test_the_deadline_is_the_shortest_named(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            loop = asyncio.get_running_loop()
            for name, lines, expected in DEADLINES:
                sent = loop.time()
                await ingress.send(_get(more=lines + b"Connection: close\r\n"))
                left = ingress.forwarder.jobs[-1].deadline - sent
                self.assertThat(
                    left - expected,
                    testtools.matchers.MatchesPredicate(
                        lambda x: 0 <= x < 0.2, f"{name}: %s"
                    ),
                )

        self._run(case)

    def test_bodiless_responses(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            forwarder = ingress.forwarder
            forwarder.headers = [wire.Header("Content-Length", "6")]
            forwarder.body = b""
            head = _get().replace(b"GET", b"HEAD")
            response = await ingress.send(head + _get())
            self.assertEqual("6", response.get("content-length"))
            second = loopback.parse(response.rest)
            self.assertEqual(200, second.status)
            self.assertEqual("0", second.get("content-length"))
            for status, length in ((204, "0"), (304, "6")):
                forwarder.status = status
                forwarder.headers = [wire.Header("Content-Length", length)]
                response = await ingress.send(_get() + _get())
                second = loopback.parse(response.rest)
                self.assertEqual(status, response.status)
                self.assertEqual((status, b""), (second.status, second.rest))

        self._run(case)

    def test_header_values_stay_apart_and_hop_headers_go(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            ingress.forwarder.headers = [
                wire.Header("Set-Cookie", "a=1"),
                wire.Header("Set-Cookie", "b=2"),
                wire.Header("Connection", "X-Hop"),
                wire.Header("X-Hop", "1"),
                wire.Header("Keep-Alive", "timeout=1"),
            ]
            response = await ingress.send(_get(more=b"Cookie: x=1\r\n"))
            cookies = [v for n, v in response.fields if n == "set-cookie"]
            self.assertEqual(["a=1", "b=2"], cookies)
            self.assertEqual("", response.get("x-hop"))
            self.assertEqual("", response.get("keep-alive"))

        self._run(case)

    def test_continue_is_sent_only_for_a_body_that_will_be_read(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            expect = b"Content-Length: 3\r\nExpect: 100-Continue\r\n"
            reader, writer = await ingress.open()
            writer.write(_post(expect))
            line = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 100 ", line)
            writer.write(b"fee")
            response = await loopback.read_response(reader)
            self.assertEqual(200, response.status)
            writer.close()
            for raw, status in (
                (_post(expect).replace(b"/p", b"/q"), 404),
                (_post(expect.replace(b"3", b"9999999")), 413),
            ):
                response = await ingress.send(raw)
                self.assertEqual(status, response.status)
                self.assertTrue(response.ended)

        self._run(case)

    def test_requests_on_one_connection_are_answered_in_order(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            reader, writer = await ingress.open()
            writer.write(_get(b"/p/1") + _get(b"/q") + _get(b"/p/2"))
            first = await loopback.read_response(reader)
            statuses = [first.status]
            rest = first.rest
            while b"HTTP/1.1" in rest:
                found = loopback.parse(rest[rest.index(b"HTTP/1.1") :])
                statuses.append(found.status)
                rest = found.rest
            self.assertEqual([200, 404, 200], statuses)
            writer.close()

        self._run(case)

    def test_connections_over_the_limit_are_told(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            kept = [await ingress.open() for _ in range(4)]
            response = await ingress.send(_get())
            self.assertEqual((503, 2005), (response.status, response.code))
            self.assertTrue(response.ended)
            kept[0][1].close()
            await asyncio.sleep(0.05)
            response = await ingress.send(_get())
            self.assertEqual(200, response.status)
            for _, writer in kept[1:]:
                writer.close()

        self._run(case, max_connections=4)

    def test_bodies_of_all_callers_together_are_bounded(self):
        self.patch(server, "MAX_BODIES_BYTES", _MIB)

        async def case(ingress: loopback.LoopbackIngress) -> None:
            first = await ingress.open()
            first[1].write(
                _post(b"Content-Length: 1048576\r\n", b"x" * (_MIB - 9))
            )
            await asyncio.sleep(0.1)
            late = _post(b"Content-Length: 100\r\n", b"x" * 100)
            response = await ingress.send(late)
            self.assertEqual((503, 2007), (response.status, response.code))
            first[1].close()
            await asyncio.sleep(0.05)
            response = await ingress.send(late)
            self.assertEqual(200, response.status)

        self._run(case)

    def test_slow_and_idle_connections_end(self):
        self.patch(server, "SWEEP_INTERVAL_S", 0.02)
        self.patch(server, "HEAD_TIMEOUT_S", 0.1)
        self.patch(server, "BODY_TIMEOUT_S", 0.1)
        self.patch(server, "IDLE_TIMEOUT_S", 0.1)
        rows = [
            (_get()[:-2], 408, 2006),
            (_post(b"Content-Length: 3\r\n", b"f"), 408, 2006),
            (b"", 0, 0),
        ]

        async def case(ingress: loopback.LoopbackIngress) -> None:
            for raw, status, code in rows:
                response = await ingress.send(raw)
                found = (response.status, response.code, response.ended)
                self.assertEqual((status, code, True), found)

        self._run(case)

    def test_a_caller_that_leaves_does_not_stop_its_request(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            ingress.forwarder.delay_s = 0.1
            _, writer = await ingress.open()
            writer.write(_post(b"Content-Length: 3\r\n", b"fee"))
            await asyncio.sleep(0.05)
            writer.close()
            self.assertEqual(1, ingress.ingress.busy)
            await asyncio.sleep(0.15)
            self.assertEqual(0, ingress.ingress.busy)
            self.assertEqual(1, len(ingress.forwarder.jobs))

        self._run(case)
