"""Valid and malformed messages get the expected status and result code."""

from __future__ import annotations

import asyncio

import testtools

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
_MIB = 1024 * 1024

# Name, bytes sent, expected status and expected result code.
MESSAGES = [
    ("get", loopback.get(), 200, 1000),
    ("query", loopback.get(b"/p/7?a=%2F&b=c"), 200, 1000),
    ("post", loopback.post(b"Content-Length: 3\r\n", b"fee"), 200, 1000),
    ("empty post", loopback.post(b"Content-Length: 0\r\n"), 200, 1000),
    (
        "chunked",
        loopback.post(
            b"Transfer-Encoding: chunked\r\n", b"2\r\nfe\r\n1\r\ne\r\n0\r\n\r\n"
        ),
        200,
        1000,
    ),
    ("http/1.0", b"GET /p HTTP/1.0\r\n\r\n", 200, 1000),
    ("options", loopback.get().replace(b"GET", b"OPTIONS"), 200, 1000),
    ("long query", loopback.get(b"/p?" + b"q" * 60_000), 200, 1000),
    ("no route", loopback.get(b"/q"), 404, 2010),
    (
        "method not allowed",
        loopback.get(b"/reads").replace(b"GET", b"DELETE"),
        405,
        2011,
    ),
    ("trace", loopback.get().replace(b"GET", b"TRACE"), 405, 2011),
    ("asterisk", loopback.get(b"*").replace(b"GET", b"OPTIONS"), 400, 2001),
    ("connect", loopback.get(b"h:1").replace(b"GET", b"CONNECT"), 400, 2001),
    ("no host", b"GET /p HTTP/1.1\r\n\r\n", 400, 2001),
    ("two hosts", loopback.get(extra_fields=loopback.HOST), 400, 2001),
    ("http/2", b"PRI * HTTP/2.0\r\n\r\n", 400, 2001),
    ("http/0.9", b"GET /p\r\n\r\n", 400, 2001),
    ("not http", b"\x16\x03\x01\x00\xa5\x01\x00\r\n\r\n", 400, 2001),
    ("nul in value", loopback.get(extra_fields=b"A: b\x00c\r\n"), 400, 2001),
    ("space before colon", loopback.get(extra_fields=b"A : b\r\n"), 400, 2001),
    ("no colon", loopback.get(extra_fields=b"Ab\r\n"), 400, 2001),
    (
        "obsolete line folding",
        loopback.get(extra_fields=b"A: b\r\n c\r\n"),
        400,
        2004,
    ),
    ("bare LF", loopback.get(extra_fields=b"A: b\nC: d\r\n"), 400, 2004),
    ("bare CR", loopback.get(extra_fields=b"A: b\rC: d\r\n"), 400, 2004),
    ("only LF", b"GET /p HTTP/1.1\nHost: h\n\n", 400, 2004),
    (
        "head over limit",
        loopback.get(extra_fields=b"A: " + b"b" * 65_600 + b"\r\n"),
        431,
        2002,
    ),
    ("endless head", b"GET /p HTTP/1.1\r\nA: " + b"b" * 900_000, 431, 2002),
    (
        "too many headers",
        loopback.get(extra_fields=b"A: b\r\n" * 300),
        431,
        2002,
    ),
    (
        "long idempotency key",
        loopback.get(extra_fields=b"Idempotency-Key: " + b"k" * 256 + b"\r\n"),
        400,
        2001,
    ),
    (
        "two idempotency keys",
        loopback.get(
            extra_fields=b"Idempotency-Key: k\r\nIdempotency-Key: l\r\n"
        ),
        400,
        2001,
    ),
    (
        "length over limit",
        loopback.post(b"Content-Length: 1048577\r\n"),
        413,
        2003,
    ),
    (
        "body over limit",
        loopback.post(b"Content-Length: 3145728\r\n", b"x" * 3 * _MIB),
        413,
        2003,
    ),
    (
        "chunked body over limit",
        loopback.post(
            b"Transfer-Encoding: chunked\r\n",
            b"200000\r\n" + b"x" * 2 * _MIB + b"\r\n0\r\n\r\n",
        ),
        413,
        2003,
    ),
    (
        "length and chunked",
        loopback.post(
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"0\r\n\r\n",
        ),
        400,
        2004,
    ),
    (
        "different lengths",
        loopback.post(b"Content-Length: 3\r\nContent-Length: 4\r\n", b"feee"),
        400,
        2004,
    ),
    (
        "same length twice",
        loopback.post(b"Content-Length: 3\r\nContent-Length: 3\r\n", b"fee"),
        400,
        2004,
    ),
    (
        "list of lengths",
        loopback.post(b"Content-Length: 3, 3\r\n", b"fee"),
        400,
        2004,
    ),
    ("length +3", loopback.post(b"Content-Length: +3\r\n", b"fee"), 400, 2004),
    ("length -3", loopback.post(b"Content-Length: -3\r\n", b"fee"), 400, 2004),
    (
        "length 0x3",
        loopback.post(b"Content-Length: 0x3\r\n", b"fee"),
        400,
        2004,
    ),
    (
        "length 3 0",
        loopback.post(b"Content-Length: 3 0\r\n", b"fee"),
        400,
        2004,
    ),
    ("empty length", loopback.post(b"Content-Length:\r\n"), 400, 2004),
    (
        "unknown coding",
        loopback.post(b"Transfer-Encoding: xchunked\r\n"),
        400,
        2004,
    ),
    (
        "gzip and chunked",
        loopback.post(b"Transfer-Encoding: gzip, chunked\r\n"),
        400,
        2004,
    ),
    ("identity", loopback.post(b"Transfer-Encoding: identity\r\n"), 400, 2004),
    (
        "chunked twice",
        loopback.post(b"Transfer-Encoding: chunked\r\n" * 2, b"0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "chunked in http/1.0",
        b"POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        2004,
    ),
    (
        "malformed chunk size",
        loopback.post(
            b"Transfer-Encoding: chunked\r\n", b"0x1\r\na\r\n0\r\n\r\n"
        ),
        400,
        2004,
    ),
    (
        "negative chunk",
        loopback.post(
            b"Transfer-Encoding: chunked\r\n", b"-1\r\na\r\n0\r\n\r\n"
        ),
        400,
        2004,
    ),
    (
        "data after chunk",
        loopback.post(b"Transfer-Encoding: chunked\r\n", b"1\r\nabc0\r\n\r\n"),
        400,
        2004,
    ),
    (
        "endless chunk line",
        loopback.post(b"Transfer-Encoding: chunked\r\n", b"1;" + b"x" * 500),
        400,
        2004,
    ),
]


class MessagesTest(testtools.TestCase):
    def test_status_and_result_code_of_each_message(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            async def send(name, message, status, code):
                response = await ingress.send(message)
                return name, (response.status, response.code)

            results = await asyncio.gather(*(send(*row) for row in MESSAGES))
            expected = [(n, (s, c)) for n, _, s, c in MESSAGES]
            self.assertEqual(expected, results)
            answered_count = sum(1 for row in MESSAGES if row[3] == 1000)
            self.assertEqual(answered_count, len(ingress.forwarder.jobs))

        with self.assertNoLogs(level="ERROR"):
            asyncio.run(loopback.run_case(SETTINGS, case))
