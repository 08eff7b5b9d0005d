"""Contract tests of the caller interface, over raw TCP connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import testtools

from sardinedoor_node.ingress import buffers
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
"""
_MIB = 1024 * 1024

# Name, header lines, expected timeout in s.
DEADLINES = [
    ("timeout of the route", b"", 5.0),
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
        with self.assertNoLogs(level="ERROR"):
            asyncio.run(loopback.run_case(SETTINGS, case, max_connections))

    def test_refusal_has_outcome_and_request_id(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            response = await ingress.send(
                loopback.get(b"/q", b"X-Request-Id: abc-1\r\n")
            )
            self.assertEqual("not-run", response.get("sardinedoor-outcome"))
            self.assertEqual("abc-1", response.get("x-request-id"))
            self.assertEqual(b"2010 no_route\n", response.rest)

        self._run(case)

    def test_malformed_request_id_is_replaced(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            for given in (b'a"b', b"x" * 65, b"a b", b"\xe9", b""):
                response = await ingress.send(
                    loopback.get(
                        extra_fields=b"Connection: close\r\nX-Request-Id: "
                        + given
                        + b"\r\n"
                    )
                )
                request_id = response.get("x-request-id")
                self.assertRegex(request_id, "^[0-9a-f]{16}$")
                forwarded = ingress.forwarder.jobs[-1].request.headers
                self.assertIn(
                    wire.Header("X-Request-Id", request_id), forwarded
                )

        self._run(case)

    def test_shortest_timeout_sets_deadline(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            loop = asyncio.get_running_loop()
            for name, header_lines, expected in DEADLINES:
                sent_at = loop.time()
                await ingress.send(
                    loopback.get(
                        extra_fields=header_lines + b"Connection: close\r\n"
                    )
                )
                timeout_s = ingress.forwarder.jobs[-1].deadline - sent_at
                self.assertThat(
                    timeout_s - expected,
                    testtools.matchers.MatchesPredicate(
                        lambda x: 0 <= x < 0.2, f"{name}: %s"
                    ),
                )

        self._run(case)

    def test_responses_without_body(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            forwarder = ingress.forwarder
            forwarder.headers = [wire.Header("Content-Length", "6")]
            forwarder.body = b""
            head = loopback.get().replace(b"GET", b"HEAD")
            response = await ingress.send(head + loopback.get())
            self.assertEqual("6", response.get("content-length"))
            second = loopback.parse(response.rest)
            self.assertEqual(200, second.status)
            self.assertEqual("0", second.get("content-length"))
            for status, length in ((204, "0"), (304, "6")):
                forwarder.status = status
                forwarder.headers = [wire.Header("Content-Length", length)]
                response = await ingress.send(loopback.get() + loopback.get())
                second = loopback.parse(response.rest)
                self.assertEqual(status, response.status)
                self.assertEqual((status, b""), (second.status, second.rest))

        self._run(case)

    def test_repeated_headers_are_kept_and_hop_by_hop_removed(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            ingress.forwarder.headers = [
                wire.Header("Set-Cookie", "a=1"),
                wire.Header("Set-Cookie", "b=2"),
                wire.Header("Connection", "X-Hop"),
                wire.Header("X-Hop", "1"),
                wire.Header("Keep-Alive", "timeout=1"),
            ]
            response = await ingress.send(
                loopback.get(extra_fields=b"Cookie: x=1\r\n")
            )
            cookies = [v for n, v in response.fields if n == "set-cookie"]
            self.assertEqual(["a=1", "b=2"], cookies)
            self.assertEqual("", response.get("x-hop"))
            self.assertEqual("", response.get("keep-alive"))

        self._run(case)

    def test_continue_is_sent_only_if_body_will_be_read(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            expect = b"Content-Length: 3\r\nExpect: 100-Continue\r\n"
            reader, writer = await ingress.open()
            writer.write(loopback.post(expect))
            line = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 100 ", line)
            writer.write(b"fee")
            response = await loopback.read_response(reader)
            self.assertEqual(200, response.status)
            writer.close()
            for request, status in (
                (loopback.post(expect).replace(b"/p", b"/q"), 404),
                (loopback.post(expect.replace(b"3", b"9999999")), 413),
            ):
                response = await ingress.send(request)
                self.assertEqual(status, response.status)
                self.assertTrue(response.closed)

        self._run(case)

    def test_pipelined_requests_are_answered_in_order(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            reader, writer = await ingress.open()
            writer.write(
                loopback.get(b"/p/1")
                + loopback.get(b"/q")
                + loopback.get(b"/p/2")
            )
            first = await loopback.read_response(reader)
            statuses = [first.status]
            rest = first.rest
            while b"HTTP/1.1" in rest:
                parsed = loopback.parse(rest[rest.index(b"HTTP/1.1") :])
                statuses.append(parsed.status)
                rest = parsed.rest
            self.assertEqual([200, 404, 200], statuses)
            writer.close()

        self._run(case)

    def test_connections_over_limit_are_refused_with_code(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            open_connections = [await ingress.open() for _ in range(4)]
            response = await ingress.send(loopback.get())
            self.assertEqual((503, 2005), (response.status, response.code))
            self.assertTrue(response.closed)
            open_connections[0][1].close()
            await asyncio.sleep(0.05)
            response = await ingress.send(loopback.get())
            self.assertEqual(200, response.status)
            for _, writer in open_connections[1:]:
                writer.close()

        self._run(case, max_connections=4)

    def test_total_size_of_bodies_is_limited(self):
        self.patch(buffers, "MAX_TOTAL_BODY_BYTES", _MIB)

        async def case(ingress: loopback.LoopbackIngress) -> None:
            first = await ingress.open()
            first[1].write(
                loopback.post(b"Content-Length: 1048576\r\n", b"x" * (_MIB - 9))
            )
            await asyncio.sleep(0.1)
            second_request = loopback.post(
                b"Content-Length: 100\r\n", b"x" * 100
            )
            response = await ingress.send(second_request)
            self.assertEqual((503, 2007), (response.status, response.code))
            first[1].close()
            await asyncio.sleep(0.05)
            response = await ingress.send(second_request)
            self.assertEqual(200, response.status)

        self._run(case)

    def test_slow_and_idle_connections_are_closed(self):
        self.patch(server, "TIMEOUT_CHECK_INTERVAL_S", 0.02)
        self.patch(server, "HEAD_TIMEOUT_S", 0.1)
        self.patch(server, "BODY_TIMEOUT_S", 0.1)
        self.patch(server, "IDLE_TIMEOUT_S", 0.1)
        rows = [
            (loopback.get()[:-2], 408, 2006),
            (loopback.post(b"Content-Length: 3\r\n", b"f"), 408, 2006),
            (b"", 0, 0),
        ]

        async def case(ingress: loopback.LoopbackIngress) -> None:
            for request, status, code in rows:
                response = await ingress.send(request)
                result = (response.status, response.code, response.closed)
                self.assertEqual((status, code, True), result)

        self._run(case)

    def test_request_continues_after_caller_disconnects(self):
        async def case(ingress: loopback.LoopbackIngress) -> None:
            ingress.forwarder.delay_s = 0.1
            _, writer = await ingress.open()
            writer.write(loopback.post(b"Content-Length: 3\r\n", b"fee"))
            await asyncio.sleep(0.05)
            writer.close()
            self.assertEqual(1, ingress.ingress.request_count)
            await asyncio.sleep(0.15)
            self.assertEqual(0, ingress.ingress.request_count)
            self.assertEqual(1, len(ingress.forwarder.jobs))

        self._run(case)
