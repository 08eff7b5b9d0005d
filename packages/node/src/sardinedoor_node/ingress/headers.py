"""Headers that callers, nodes and targets exchange."""

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

MAX_KEY_CHARS = 255
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
_OWN_PREFIX = "sardinedoor-"
# Connection can't make a hop drop these: the system acts on them.
_KEPT = frozenset(
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
# Frameworks that honour one of these would run another method or path than
# the one that was matched, or believe a caller's word on where it comes from.
_NOT_FROM_OUTSIDE = frozenset(
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
    """Lists the headers that may pass a hop.

    Args:
        headers: All headers of a request or response.

    Returns:
        The headers without the hop-by-hop ones, those that Connection
        names, and the system's own.
    """
    named = {
        token.strip().lower()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    } - _KEPT
    passed = []
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in named:
            continue
        if lower.startswith(_OWN_PREFIX):
            continue
        passed.append(wire.Header(name, value))
    return passed


def from_outside(
    passed: list[wire.Header], remote_ip: str, secure: bool
) -> list[wire.Header]:
    """Removes what callers from outside may not say.

    Args:
        passed: End-to-end headers of a request.
        remote_ip: The caller's address.
        secure: Whether the caller's connection uses TLS.

    Returns:
        The headers with the node's own word on where the request is from.
    """
    kept = [
        header
        for header in passed
        if header.name.lower() not in _NOT_FROM_OUTSIDE
        and "_" not in header.name
    ]
    kept.append(wire.Header(FORWARDED_FOR, remote_ip))
    kept.append(wire.Header(FORWARDED_PROTO, "https" if secure else "http"))
    return kept


def request_id(headers: httputil.HTTPHeaders) -> str | None:
    """Returns the caller's request id, None if it has none that is safe."""
    given = headers.get(REQUEST_ID)
    if given is None or _REQUEST_ID.fullmatch(given) is None:
        return None
    return given


def timeout_s(headers: httputil.HTTPHeaders) -> float | None:
    """Returns the time that the caller waits, in s; None if unsaid."""
    limits = []
    given = headers.get(TIMEOUT_MS)
    if given is not None and _TIMEOUT.fullmatch(given):
        limits.append(int(given) / 1000)
    prefer = headers.get(PREFER)
    wait = None if prefer is None else _PREFER_WAIT.search(prefer)
    if wait is not None:
        limits.append(float(wait.group(1)))
    return min(limits, default=None)


def is_key(value: str) -> bool:
    """Tells whether a value may be an idempotency key."""
    return len(value) <= MAX_KEY_CHARS and value.isascii()
