"""Internal routes are unreachable through the public listener."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node.ingress import paths
from sardinedoor_standins import loopback

_SETTINGS = """
[team]
name = t
[service permits]
workers = permits-0
[route open]
service = permits
path = /
visibility = public
[route fees]
service = permits
path = /fees
visibility = public
[route pricing]
service = permits
path = /internal/pricing
[route audit]
service = permits
path = /fees/audit
"""

_INTERNAL_PATH = b"/internal/pricing"

# Request targets that some parser might interpret as an internal route.
_DISGUISED_TARGETS = [
    b"/internal/pricing",
    b"/internal/pricing/",
    b"/internal/pricing?x=/fees",
    b"/internal/pricing/1",
    b"/fees/audit",
    b"/INTERNAL/pricing",
    b"/Internal/Pricing/7",
    b"/fees/AUDIT",
    b"/%69nternal/pricing",
    b"/internal/pr%69cing",
    b"/%49NTERNAL/pricing",
    b"/%2569nternal/pricing",
    b"/internal%2Fpricing",
    b"/internal%2fpricing",
    b"/internal%252Fpricing",
    b"/internal%5Cpricing",
    b"/internal\\pricing",
    b"//internal/pricing",
    b"/internal//pricing",
    b"///internal///pricing",
    b"/./internal/pricing",
    b"/internal/./pricing",
    b"/fees/../internal/pricing",
    b"/fees/..;/internal/pricing",
    b"/fees/%2e%2e/internal/pricing",
    b"/fees/%2E./internal/pricing",
    b"/fees/.%2e/audit/../audit",
    b"/fees/x/../audit",
    b"/internal/pricing/..",
    b"/internal/pricing/.",
    b"/internal;x=1/pricing",
    b"/internal/pricing;x",
    b"/;/internal/pricing",
    b"/internal./pricing",
    b"/internal/pricing.",
    b"/internal/pricing%20",
    b"/internal/pricing%00",
    b"/internal/pricing%0a",
    b"/internal/pricing%09",
    b"/internal/pricing%3Bx",
    b"/internal/pricing%23",
    b"/internal/pricing#x",
    b"/internal/pricing%3Fx",
    b"/internal/pricing%",
    b"/internal/pricing%zz",
    b"/%u0069nternal/pricing",
    b"/%C0%AFinternal/pricing",
    b"/fees/%C0%AE%C0%AE/internal/pricing",
    b"/fees/%EF%BC%8E%EF%BC%8E/internal/pricing",
    b"/internal%EF%BC%8Fpricing",
    b"/%EF%BD%89nternal/pricing",
    b"/%C4%B1nternal/pricing",
    b"/internal/pricing\xe9",
    b"http://h/internal/pricing",
    b"HTTPS://h/internal/pricing",
    b"http://127.0.0.1/internal/pricing",
    b"http://user@h/internal/pricing",
    b"http://h\\/internal/pricing",
    b"http:///internal/pricing",
    b"ftp://h/internal/pricing",
    b"h:80/internal/pricing",
    b"internal/pricing",
    b"*",
]

# Headers that claim that the request is internal or already authorised.
_FORGED_HEADERS = [
    b"Host: internal\r\n",
    b"Host: 127.0.0.1\r\n",
    b"Host: h\r\nX-Forwarded-For: 127.0.0.1\r\n",
    b"Host: h\r\nForwarded: for=127.0.0.1;host=internal\r\n",
    b"Host: h\r\nX-Real-Ip: 127.0.0.1\r\n",
    b"Host: h\r\nX-Original-URL: /fees\r\n",
    b"Host: h\r\nSardinedoor-Internal: yes\r\n",
    b"Host: h\r\nSardinedoor-Route: fees\r\n",
    b"Host: h\r\nX-HTTP-Method-Override: GET\r\n",
    b"Host: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    b"Host: h\r\nConnection: Host, X-Organisation\r\nX-Organisation: o\r\n",
    b"Host: h\r\nAuthorization: Bearer x\r\n",
]

# Headers that must not reach a target with the value that the caller sent.
_STRIPPED_HEADERS = [
    b"X-Original-URL: /internal/pricing",
    b"X-Rewrite-URL: /internal/pricing",
    b"X-HTTP-Method-Override: DELETE",
    b"X-Method-Override: DELETE",
    b"X-HTTP-Method: DELETE",
    b"X-Forwarded-For: 127.0.0.1",
    b"X-Forwarded-Host: internal",
    b"X-Forwarded-Prefix: /internal",
    b"X-Forwarded-Proto: https",
    b"Forwarded: for=127.0.0.1",
    b"X-Real-IP: 127.0.0.1",
    b"X_Forwarded_For: 127.0.0.1",
    b"X_Organisation: other",
    b"Sardinedoor_Code: 1000",
    b"Sardinedoor-Code: 1000",
    b"sardinedoor-target: permits-9",
    b"Upgrade: h2c",
    b"HTTP2-Settings: AAMAAABkAAQAAP__",
    b"TE: trailers",
    b"Proxy-Authorization: Basic eA==",
    b"Proxy-Connection: keep-alive",
    b"Keep-Alive: timeout=1",
]

# Request targets as received, and as they are matched and sent.
_NORMALISED_TARGETS = [
    ("/fees", "/fees"),
    ("/fees/", "/fees/"),
    ("/fees/%7Ea%2db", "/fees/~a-b"),
    ("/fees/%c3%a9?q=%2F..%2F", "/fees/%C3%A9?q=%2F..%2F"),
    ("/fees/a;v=1?", "/fees/a;v=1?"),
    ("http://other:81/fees?x", "/fees?x"),
    ("http://other", "/"),
    ("/fees/a@b:c!$&'()*+,=", "/fees/a@b:c!$&'()*+,="),
]


class InternalRoutesTest(testtools.TestCase):
    def test_disguised_requests_do_not_reach_an_internal_route(self):
        self.assertGreaterEqual(
            len(_DISGUISED_TARGETS) + len(_FORGED_HEADERS), 30
        )

        async def run() -> None:
            ingress = loopback.LoopbackIngress(_SETTINGS)
            try:
                await self._send_disguised_requests(ingress)
                # The internal listener does serve the route.
                response = await ingress.send(
                    b"GET /internal/pricing HTTP/1.1\r\nHost: h\r\n\r\n",
                    public=False,
                )
                self.assertEqual(200, response.status)
            finally:
                await ingress.close()

        with self.assertNoLogs(level="ERROR"):
            asyncio.run(run())

    async def _send_disguised_requests(
        self, ingress: loopback.LoopbackIngress
    ) -> None:
        cases = [(target, b"Host: h\r\n") for target in _DISGUISED_TARGETS]
        cases += [(_INTERNAL_PATH, lines) for lines in _FORGED_HEADERS]

        async def send(method: bytes, target: bytes, lines: bytes):
            raw = method + b" " + target + b" HTTP/1.1\r\n" + lines + b"\r\n"
            response = await ingress.send(raw)
            answer = (response.status, response.get("sardinedoor-outcome"))
            refusals = ((400, "not-run"), (404, "not-run"))
            return target, lines, answer in refusals

        for method in (b"GET", b"POST"):
            results = await asyncio.gather(
                *(send(method, *case) for case in cases)
            )
            self.assertEqual([], [r for r in results if not r[2]])
        self.assertEqual([], ingress.forwarder.jobs)

    def test_forged_headers_of_outside_callers_are_removed(self):
        async def run() -> None:
            ingress = loopback.LoopbackIngress(_SETTINGS)
            for line in _STRIPPED_HEADERS:
                response = await ingress.send(
                    b"GET /fees HTTP/1.1\r\nHost: h\r\n"
                    b"Connection: close\r\n" + line + b"\r\n\r\n"
                )
                self.assertEqual(200, response.status)
                name, _, value = line.decode().partition(": ")
                forwarded = ingress.forwarder.jobs[-1].request.headers
                values = [
                    h.value for h in forwarded if h.name.lower() == name.lower()
                ]
                set_by_node = {"x-forwarded-for": ["127.0.0.1"]}
                set_by_node["x-forwarded-proto"] = ["http"]
                self.assertEqual(set_by_node.get(name.lower(), []), values)
            await ingress.close()

        asyncio.run(run())

    def test_connection_header_cannot_remove_headers_the_system_uses(self):
        async def run() -> None:
            ingress = loopback.LoopbackIngress(_SETTINGS)
            await ingress.send(
                b"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                b"Connection: Idempotency-Key, X-Organisation, Host, X-A\r\n"
                b"Idempotency-Key: k\r\nX-Organisation: o\r\nX-A: 1\r\n\r\n"
            )
            job = ingress.forwarder.jobs[-1]
            names = {h.name for h in job.request.headers}
            self.assertEqual(("k", "o"), (job.key, job.organisation))
            self.assertIn("Host", names)
            self.assertNotIn("X-A", names)
            await ingress.close()

        asyncio.run(run())

    def test_matched_target_is_sent_unchanged(self):
        for raw, expected in _NORMALISED_TARGETS:
            target = paths.parse(raw).unwrap()
            self.assertEqual(expected, target.wire)
            reparsed = paths.parse(target.wire).unwrap()
            self.assertEqual(expected, reparsed.wire)
