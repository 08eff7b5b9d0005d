"""Writing of HTTP responses, and responses that the node generates."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from tornado import httputil

from sardinedoor_node.ingress import headers
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.ingress import requests
    from sardinedoor_schema.generated import wire

RETRY_AFTER_S = 1


def reason_phrase(status: int) -> str:
    """Returns the reason phrase of a status."""
    return httputil.responses.get(status, "Unknown")


def refusal_body(code: codes.Code) -> bytes:
    """Returns the body of a refusal: the result code and its name."""
    return f"{int(code)} {code.name.lower()}\n".encode()


def refusal_headers(
    code: codes.Code, wait_s: float = 0.0
) -> httputil.HTTPHeaders:
    """Returns a refusal's headers without Content-Length and result.

    Args:
        code: Why the request is refused.
        wait_s: Time until a target would probably accept it, in s.
    """
    fields = httputil.HTTPHeaders()
    fields["Content-Type"] = "text/plain"
    if codes.http_status(code) == 503:
        fields["Retry-After"] = str(max(RETRY_AFTER_S, math.ceil(wait_s)))
    return fields


def add_result_headers(fields: httputil.HTTPHeaders, code: codes.Code) -> None:
    """Adds the headers with the result code and its outcome."""
    fields[headers.RESULT_CODE] = str(int(code))
    fields[headers.OUTCOME] = codes.outcome(code).value


def serialise_refusal(code: codes.Code) -> bytes:
    """Returns a serialised refusal that closes the connection."""
    status = codes.http_status(code)
    body = refusal_body(code)
    fields = refusal_headers(code)
    add_result_headers(fields, code)
    fields["Content-Length"] = str(len(body))
    fields["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in fields.get_all()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reply_headers(reply: wire.Reply) -> httputil.HTTPHeaders:
    """Returns the headers of a target's reply to send to the caller."""
    received = httputil.HTTPHeaders()
    for header in reply.headers:
        received.add(header.name, header.value)
    forwarded = httputil.HTTPHeaders()
    for header in headers.end_to_end(received):
        forwarded.add(header.name, header.value)
    length = received.get("Content-Length", "")
    if not reply.body and length.isascii() and length.isdigit():
        forwarded["Content-Length"] = length
    return forwarded


def write(
    request: requests.Request,
    status: int,
    response_headers: httputil.HTTPHeaders,
    body: bytes,
) -> None:
    """Writes a response, unless the connection is closed.

    Args:
        request: The request that is answered.
        status: The HTTP status code.
        response_headers: The headers; Content-Length is set as needed.
        body: The body; not sent if the request or status doesn't allow one.
    """
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    if status in (204, 304) or request.method == "HEAD":
        # For HEAD and 304 the target's Content-Length is kept: it is the length
        # that the response to a GET would have.
        body = b""
    else:
        response_headers["Content-Length"] = str(len(body))
    start_line = httputil.ResponseStartLine(
        "HTTP/1.1", status, reason_phrase(status)
    )
    connection.write_headers(start_line, response_headers, body)
    connection.finish()
