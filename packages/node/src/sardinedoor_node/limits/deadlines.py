"""Propagates the remaining time of a request to the target."""

from __future__ import annotations

from sardinedoor_schema.generated import wire

_TIMEOUT_MS = "X-Request-Timeout-Ms"


def with_remaining(request: wire.Request, remaining_s: float) -> wire.Request:
    """Returns a request that carries the remaining time in a header.

    Args:
        request: The request; the same header of the caller is replaced.
        remaining_s: Time that the target has to respond, in s.
    """
    lower = _TIMEOUT_MS.lower()
    kept = [h for h in request.headers if h.name.lower() != lower]
    remaining_ms = max(1, int(remaining_s * 1000))
    kept.append(wire.Header(_TIMEOUT_MS, str(remaining_ms)))
    return wire.Request(request.method, request.path, kept, request.body)
