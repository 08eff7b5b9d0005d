"""The time left, as it travels to the target."""

from __future__ import annotations

from sardinedoor_schema.generated import wire

_TIMEOUT_MS = "X-Request-Timeout-Ms"


def with_remaining(request: wire.Request, remaining_s: float) -> wire.Request:
    """Returns the request with the time that the target has for it.

    Args:
        request: The request as the caller sent it.
        remaining_s: Time left, in s.
    """
    lower = _TIMEOUT_MS.lower()
    kept = [h for h in request.headers if h.name.lower() != lower]
    remaining_ms = max(1, int(remaining_s * 1000))
    kept.append(wire.Header(_TIMEOUT_MS, str(remaining_ms)))
    return wire.Request(request.method, request.path, kept, request.body)
