"""Names, parsing and filtering of HTTP header fields."""

from __future__ import annotations

import re

from tornado import httputil

from sardinedoor_schema.generated import wire

RESULT_CODE = "Sardinedoor-Code"
OUTCOME = "Sardinedoor-Outcome"
TARGET = "Sardinedoor-Target"
REQUEST_ID = "X-Request-Id"
ORGANISATION = "X-Organisation"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "X-Request-Timeout-Ms"
PREFER = "Prefer"
FORWARDED_FOR = "X-Forwarded-For"
FORWARDED_PROTO = "X-Forwarded-Proto"

MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_ORGANISATION_CHARS = 255

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_PREFER_WAIT = re.compile(r"(?:^|[,;]\s*)wait=([0-9]{1,6})\s*(?:$|[,;])")
_TIMEOUT = re.compile(r"[0-9]{1,9}")

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
        "expect",
        "content-length",
    }
)
_INTERNAL_PREFIX = "sardinedoor-"
# Headers that the system uses: they are forwarded even if a Connection header
# lists them as hop-by-hop.
_NEVER_CONNECTION_OPTIONS = frozenset(
    {
        "host",
        "authorization",
        "cookie",
        "content-type",
        "content-encoding",
        "idempotency-key",
        "x-organisation",
        "x-request-id",
        "x-request-timeout-ms",
    }
)
# Web frameworks that honour one of these headers would use another method, path
# or host than the route was matched with, or trust a client address that the
# caller made up.
_UNTRUSTED_HEADERS = frozenset(
    {
        "x-http-method",
        "x-http-method-override",
        "x-method-override",
        "x-original-url",
        "x-original-uri",
        "x-original-host",
        "x-rewrite-url",
        "x-forwarded-for",
        "x-forwarded-host",
        "x-forwarded-port",
        "x-forwarded-prefix",
        "x-forwarded-path",
        "x-forwarded-proto",
        "x-forwarded-scheme",
        "x-forwarded-server",
        "x-forwarded-uri",
        "x-host",
        "x-real-ip",
        "forwarded",
        "via",
    }
)


def end_to_end(headers: httputil.HTTPHeaders) -> list[wire.Header]:
    """Returns the end-to-end headers of a message.

    Args:
        headers: All headers of a request or response.

    Returns:
        The headers without the hop-by-hop ones, those listed in Connection
        and the system's own (Sardinedoor-...).
    """
    connection_options = {
        option.strip().lower()
        for value in headers.get_list("Connection")
        for option in value.split(",")
    } - _NEVER_CONNECTION_OPTIONS
    forwarded = []
    for name, value in headers.get_all():
        lower_name = name.lower()
        if lower_name in _HOP_BY_HOP or lower_name in connection_options:
            continue
        if lower_name.startswith(_INTERNAL_PREFIX):
            continue
        forwarded.append(wire.Header(name, value))
    return forwarded


def sanitise_public(
    forwarded: list[wire.Header], remote_ip: str, secure: bool
) -> list[wire.Header]:
    """Replaces headers that callers from outside aren't trusted to set.

    Headers with an underscore in their name are removed too, since CGI and
    WSGI don't distinguish underscores from hyphens.

    Args:
        forwarded: End-to-end headers of a request.
        remote_ip: The caller's IP address.
        secure: Whether the caller's connection uses TLS.

    Returns:
        The trusted headers, with X-Forwarded-For and X-Forwarded-Proto as this
        node determined them.
    """
    sanitised = [
        header
        for header in forwarded
        if header.name.lower() not in _UNTRUSTED_HEADERS
        and "_" not in header.name
    ]
    sanitised.append(wire.Header(FORWARDED_FOR, remote_ip))
    sanitised.append(
        wire.Header(FORWARDED_PROTO, "https" if secure else "http")
    )
    return sanitised


def request_id(headers: httputil.HTTPHeaders) -> str | None:
    """Returns the caller's request id; None if it is missing or malformed."""
    given = headers.get(REQUEST_ID)
    if given is None or _REQUEST_ID.fullmatch(given) is None:
        return None
    return given


def timeout_s(headers: httputil.HTTPHeaders) -> float | None:
    """Returns the shortest timeout that the caller asks for.

    It may be given in X-Request-Timeout-Ms and as the wait preference of a
    Prefer header.

    Returns:
        The timeout in s; None if the headers contain no valid one.
    """
    timeouts_s = []
    given = headers.get(TIMEOUT_MS)
    if given is not None and _TIMEOUT.fullmatch(given):
        timeouts_s.append(int(given) / 1000)
    prefer = headers.get(PREFER)
    prefer_wait = None if prefer is None else _PREFER_WAIT.search(prefer)
    if prefer_wait is not None:
        timeouts_s.append(float(prefer_wait.group(1)))
    return min(timeouts_s, default=None)


def is_valid_idempotency_key(value: str) -> bool:
    """Returns whether a value is allowed as an idempotency key."""
    return len(value) <= MAX_IDEMPOTENCY_KEY_CHARS and value.isascii()
