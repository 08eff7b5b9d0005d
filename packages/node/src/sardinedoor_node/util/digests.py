"""Digests that identify requests and replies."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_schema.generated import wire

DIGEST_BYTES = 16


def of_parts(parts: Iterable[bytes]) -> bytes:
    """Returns the digest of a sequence of byte strings.

    Each part is prefixed with its length, so that different sequences with the
    same concatenation have different digests.

    Args:
        parts: The byte strings, in order.

    Returns:
        The digest, `DIGEST_BYTES` long.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def of_reply(reply: wire.Reply) -> bytes:
    """Returns the digest of a reply's id, status, headers and body."""
    parts = [reply.id, str(reply.status).encode()]
    for header in reply.headers:
        parts.append(header.name.encode("latin-1", "replace"))
        parts.append(header.value.encode("latin-1", "replace"))
    parts.append(reply.body)
    return of_parts(parts)


def of_request(service: str, organisation: str, request: wire.Request) -> bytes:
    """Returns the digest by which repeats of a request are recognised.

    Headers are left out, since callers change some of them in each attempt.

    Args:
        service: Name of the service that the request is for.
        organisation: The organisation on whose behalf it is made.
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
