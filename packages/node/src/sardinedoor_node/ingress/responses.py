"""Responses that the node makes itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httputil

from sardinedoor_node.ingress import headers
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.ingress import requests
    from sardinedoor_schema.generated import wire

RETRY_AFTER_S = 1


def reason(status: int) -> str:
    """Returns the reason phrase of a status."""
    return httputil.responses.get(status, "Unknown")


def body(code: codes.Code) -> bytes:
    """Returns the body of a refusal."""
    return f"{int(code)} {code.name.lower()}\n".encode()


def refusal_headers(code: codes.Code) -> httputil.HTTPHeaders:
    """Returns the headers of a refusal, without length and outcome."""
    fields = httputil.HTTPHeaders()
    fields["Content-Type"] = "text/plain"
    if codes.http_status(code) == 503:
        fields["Retry-After"] = str(RETRY_AFTER_S)
    return fields


def add_outcome(fields: httputil.HTTPHeaders, code: codes.Code) -> None:
    """Adds the result code and its outcome."""
    fields[headers.RESULT_CODE] = str(int(code))
    fields[headers.OUTCOME] = codes.outcome(code).value


def plain(code: codes.Code) -> bytes:
    """Returns a whole refusal that ends its connection."""
    status = codes.http_status(code)
    content = body(code)
    fields = refusal_headers(code)
    add_outcome(fields, code)
    fields["Content-Length"] = str(len(content))
    fields["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {reason(status)}"]
    lines += [f"{name}: {value}" for name, value in fields.get_all()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + content


def reply_headers(reply: wire.Reply) -> httputil.HTTPHeaders:
    """Returns the headers of a target's answer that may pass on."""
    received = httputil.HTTPHeaders()
    for header in reply.headers:
        received.add(header.name, header.value)
    passed = httputil.HTTPHeaders()
    for header in headers.end_to_end(received):
        passed.add(header.name, header.value)
    length = received.get("Content-Length", "")
    if not reply.body and length.isascii() and length.isdigit():
        passed["Content-Length"] = length
    return passed


def write(
    request: requests.Request,
    status: int,
    response: httputil.HTTPHeaders,
    content: bytes,
) -> None:
    """Writes a response, unless the caller has left.

    Args:
        request: The request that it answers.
        status: Its status.
        response: Its headers, without a length.
        content: Its body.
    """
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    if status in (204, 304) or request.method == "HEAD":
        # The length that a target names for a HEAD or 304 is kept as it is.
        content = b""
    else:
        response["Content-Length"] = str(len(content))
    line = httputil.ResponseStartLine("HTTP/1.1", status, reason(status))
    connection.write_headers(line, response, content)
    connection.finish()
