"""Random request heads get a result code and use bounded memory."""

from __future__ import annotations

import asyncio
import os
import resource

import hypothesis
from hypothesis import strategies
import testtools
from tornado import httputil

from sardinedoor_node.ingress import heads
from sardinedoor_node.ingress import paths
from sardinedoor_schema import codes
from sardinedoor_standins import loopback

SETTINGS = """
[team]
name = t
[service permits]
workers = permits-0
[route open]
service = permits
path = /
visibility = public
[route hidden]
service = permits
path = /hidden
"""
# Set by `make fuzz`, which also generates new examples on each run.
_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
_MAX_GROWTH_KB = 64 * 1024
# Long enough for the short Content-Lengths below; also a whole chunked body.
_BODY = b"0\r\n\r\n" + b"x" * 59

hypothesis.settings.register_profile(
    "ci", derandomize=True, max_examples=300, deadline=None
)
hypothesis.settings.register_profile(
    "fuzz", max_examples=_EXAMPLES or 1, deadline=None
)
_SETTINGS = hypothesis.settings.get_profile("fuzz" if _EXAMPLES else "ci")

_TARGET_PARTS = strategies.sampled_from(
    [
        *(b"/", b"//", b".", b"..", b"%2e", b"%2F", b"%", b"%00", b";", b"\\"),
        *(b"hidden", b"HIDDEN", b"a", b"?", b"#", b"*", b"http://h", b"\xff"),
    ]
)
_TARGETS = strategies.one_of(
    strategies.just(b"/a"),
    strategies.lists(_TARGET_PARTS, max_size=8).map(
        lambda x: b"/" + b"".join(x)
    ),
    strategies.binary(max_size=40),
)
_NAMES = strategies.one_of(
    strategies.sampled_from(
        [
            *(b"Host", b"Content-Length", b"Transfer-Encoding", b"Connection"),
            *(b"Expect", b"Idempotency-Key", b"X-Request-Id", b"Prefer"),
            *(b"X-Request-Timeout-Ms", b"Upgrade", b" Host", b"Host ", b""),
        ]
    ),
    strategies.binary(max_size=12),
)
_VALUES = strategies.one_of(
    strategies.sampled_from(
        [
            *(b"0", b"3", b"64", b"+3", b"3,3", b"9999999", b"chunked"),
            *(b"close", b"keep-alive", b"100-continue", b"wait=1", b"h"),
            *(b"Host", b"h2c", b"\t", b"", b"1e9", b"\xd9\xa3"),
        ]
    ),
    strategies.binary(max_size=60),
)
_LINE_ENDS = strategies.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r"])
_HEADER_LINES = strategies.tuples(
    _NAMES, strategies.sampled_from([b": ", b":", b" "]), _VALUES, _LINE_ENDS
).map(b"".join)
_HEADS = strategies.tuples(
    strategies.sampled_from([b"GET", b"POST", b"HEAD", b"TRACE", b"g\x00"]),
    strategies.just(b" "),
    _TARGETS,
    strategies.sampled_from([b" HTTP/1.1", b" HTTP/1.0", b" HTTP/2.0", b""]),
    _LINE_ENDS,
    strategies.sampled_from([b"Host: h\r\n", b"Host: h\r\n", b""]),
    strategies.lists(_HEADER_LINES, max_size=6).map(b"".join),
    strategies.just(b"\r\n\r\n"),
).map(b"".join)


class FuzzTest(testtools.TestCase):
    @hypothesis.given(_HEADS)
    @hypothesis.settings(_SETTINGS)
    def test_head_is_parsed_or_refused(self, head: bytes):
        try:
            request_line, headers = heads.parse(head)
        except heads.HeadError as e:
            self.assertIs(codes.Outcome.NOT_RUN, codes.outcome(e.code))
            return
        start_line = httputil.parse_request_start_line(request_line)
        self.assertLessEqual(len(headers.get_list("Content-Length")), 1)
        parsed = paths.parse(start_line.path)
        if parsed.is_ok():
            wire = parsed.unwrap().wire
            self.assertEqual(wire, paths.parse(wire).unwrap().wire)
            self.assertNotIn("/../", parsed.unwrap().path + "/")

    @hypothesis.given(strategies.lists(_HEADS, min_size=1, max_size=20))
    @hypothesis.settings(_SETTINGS, max_examples=_EXAMPLES or 40)
    def test_each_response_has_result_code(self, request_heads):
        asyncio.run(self._send_all(request_heads))

    async def _send_all(self, request_heads: list[bytes]) -> None:
        rss_before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        ingress = loopback.LoopbackIngress(SETTINGS)
        responses = await asyncio.gather(
            *(ingress.send(head + _BODY) for head in request_heads)
        )
        for head, response in zip(request_heads, responses, strict=True):
            self.assertNotEqual(0, response.code, head)
        for job in ingress.forwarder.jobs:
            self.assertFalse(job.request.path.lower().startswith("/hidden"))
        self.assertEqual(0, ingress.ingress.request_count)
        await ingress.close()
        growth_kb = (
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss_before_kb
        )
        self.assertLess(growth_kb, _MAX_GROWTH_KB)
