"""Parsing of request heads, stricter than the HTTP library's.

Any ambiguity in the message framing is refused, to prevent request smuggling.
"""

from __future__ import annotations

import re

from tornado import httputil

from sardinedoor_schema import codes

MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 200

_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
_DIGITS = re.compile(r"[0-9]{1,18}")
_SINGLETON_HEADERS = (
    "Host",
    "Idempotency-Key",
    "X-Request-Timeout-Ms",
    "Expect",
)


class HeadError(httputil.HTTPInputError):
    """The head or body of a request is refused with a result code."""

    def __init__(self, code: codes.Code):
        super().__init__(code.name)
        self.code = code


def parse(data: bytes) -> tuple[str, httputil.HTTPHeaders]:
    """Parses the head of a request.

    Args:
        data: The head, up to and including the empty line.

    Returns:
        The valid request line and the headers.

    Raises:
        HeadError: The head is too large or malformed, or the length of the
            body is ambiguous.
    """
    if len(data) > MAX_HEAD_BYTES:
        raise HeadError(codes.Code.HEADERS_TOO_LARGE)
    data = data.lstrip(b"\r\n")
    if _BARE_LINE_END.search(data) or _FOLDED_LINE.search(data):
        raise HeadError(codes.Code.AMBIGUOUS_FRAMING)
    if data.count(b"\r\n") > MAX_HEADERS + 2:
        raise HeadError(codes.Code.HEADERS_TOO_LARGE)
    request_line, _, header_lines = data.decode("latin1").partition("\r\n")
    try:
        start_line = httputil.parse_request_start_line(request_line)
        headers = httputil.HTTPHeaders.parse(header_lines)
    except httputil.HTTPInputError as e:
        raise HeadError(codes.Code.BAD_REQUEST) from e
    _check_framing(start_line, headers)
    _check_header_counts(start_line, headers)
    return request_line, headers


def _check_framing(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> None:
    lengths = headers.get_list("Content-Length")
    encodings = headers.get_list("Transfer-Encoding")
    ambiguous = (
        len(lengths) + len(encodings) > 1
        or any(not _DIGITS.fullmatch(value) for value in lengths)
        or any(value.lower() != "chunked" for value in encodings)
        or (encodings and start_line.version == "HTTP/1.0")
    )
    if ambiguous:
        raise HeadError(codes.Code.AMBIGUOUS_FRAMING)


def _check_header_counts(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> None:
    for name in _SINGLETON_HEADERS:
        if len(headers.get_list(name)) > 1:
            raise HeadError(codes.Code.BAD_REQUEST)
    if start_line.version == "HTTP/1.1" and "Host" not in headers:
        raise HeadError(codes.Code.BAD_REQUEST)
