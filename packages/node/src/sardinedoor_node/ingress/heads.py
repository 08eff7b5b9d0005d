"""Checks of request heads that are stricter than the HTTP library's."""

from __future__ import annotations

import re

from tornado import httputil

from sardinedoor_schema import codes

MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 200

_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
_DIGITS = re.compile(r"[0-9]{1,18}")
_SINGLE = ("Host", "Idempotency-Key", "X-Request-Timeout-Ms", "Expect")


class HeadError(httputil.HTTPInputError):
    """A head or body that is refused before a route is looked up."""

    def __init__(self, code: codes.Code):
        super().__init__(code.name)
        self.code = code


def parse(data: bytes) -> tuple[str, httputil.HTTPHeaders]:
    """Parses the head of a request.

    Args:
        data: The bytes up to and with the empty line.

    Returns:
        The request line, which is well formed, and the headers.

    Raises:
        HeadError: The head is too large, malformed, or leaves doubt about
            where the body ends.
    """
    if len(data) > MAX_HEAD_BYTES:
        raise HeadError(codes.Code.HEADERS_TOO_LARGE)
    data = data.lstrip(b"\r\n")
    if _BARE_LINE_END.search(data) or _FOLDED_LINE.search(data):
        raise HeadError(codes.Code.AMBIGUOUS_FRAMING)
    if data.count(b"\r\n") > MAX_HEADERS + 2:
        raise HeadError(codes.Code.HEADERS_TOO_LARGE)
    line, _, rest = data.decode("latin1").partition("\r\n")
    try:
        start = httputil.parse_request_start_line(line)
        headers = httputil.HTTPHeaders.parse(rest)
    except httputil.HTTPInputError as e:
        raise HeadError(codes.Code.BAD_REQUEST) from e
    _check_framing(start, headers)
    _check_single(start, headers)
    return line, headers


def _check_framing(
    start: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> None:
    lengths = headers.get_list("Content-Length")
    encodings = headers.get_list("Transfer-Encoding")
    ambiguous = (
        len(lengths) + len(encodings) > 1
        or any(not _DIGITS.fullmatch(value) for value in lengths)
        or any(value.lower() != "chunked" for value in encodings)
        or (encodings and start.version == "HTTP/1.0")
    )
    if ambiguous:
        raise HeadError(codes.Code.AMBIGUOUS_FRAMING)


def _check_single(
    start: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> None:
    for name in _SINGLE:
        if len(headers.get_list(name)) > 1:
            raise HeadError(codes.Code.BAD_REQUEST)
    if start.version == "HTTP/1.1" and "Host" not in headers:
        raise HeadError(codes.Code.BAD_REQUEST)
