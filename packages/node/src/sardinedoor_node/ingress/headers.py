"""Headers that callers, nodes and targets exchange."""

from __future__ import annotations

from tornado import httputil

from sardinedoor_schema.generated import wire

RESULT_CODE = "Sardinedoor-Code"
OUTCOME = "Sardinedoor-Outcome"
TARGET = "Sardinedoor-Target"
REQUEST_ID = "X-Request-Id"
ORGANISATION = "X-Organisation"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "X-Request-Timeout-Ms"

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
        "expect",
        "content-length",
    }
)
_OWN_PREFIX = "sardinedoor-"


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
    }
    passed = []
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in named:
            continue
        if lower.startswith(_OWN_PREFIX):
            continue
        passed.append(wire.Header(name, value))
    return passed
