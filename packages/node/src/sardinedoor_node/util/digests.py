"""Digests of requests and replies."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_schema.generated import wire

DIGEST_BYTES = 16


def of_parts(parts: Iterable[bytes]) -> bytes:
    """Digests parts so that no two lists of parts run together.

    Args:
        parts: What to digest, in order.

    Returns:
        The digest, of `DIGEST_BYTES`.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def of_reply(reply: wire.Reply) -> bytes:
    """Digests what a caller will see of a reply, and whose reply it is."""
    parts = [reply.id, str(reply.status).encode()]
    for header in reply.headers:
        parts.append(header.name.encode("latin-1", "replace"))
        parts.append(header.value.encode("latin-1", "replace"))
    parts.append(reply.body)
    return of_parts(parts)


def of_request(service: str, organisation: str, request: wire.Request) -> bytes:
    """Digests what makes two requests the same, as seen by their target.

    Headers are left out, since callers change some of them in each attempt.

    Args:
        service: The service that the request is for.
        organisation: On whose behalf it is made.
        request: The request.

    Returns:
        The digest.
    """
    return of_parts(
        [
            service.encode(),
            organisation.encode(),
            request.method.encode(),
            request.path.encode(),
            request.body,
        ]
    )
