"""Lookup of the organisation that holds a key."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node import published

_DIGEST_BYTES = 16
_SALT_BYTES = 16


@dataclasses.dataclass(slots=True, frozen=True)
class _Entry:
    organisation: published.Organisation
    digests: tuple[bytes, ...]


class OrganisationRegistry:
    """The organisations of one configuration, by key and by name.

    Only digests of the keys are kept, under a random key of the process. The
    time of a lookup therefore tells nothing about the keys that exist.
    """

    def __init__(
        self,
        organisations: Iterable[published.Organisation],
        previous: OrganisationRegistry | None = None,
    ):
        """Indexes the organisations.

        Args:
            organisations: All organisations of the configuration.
            previous: Registry of an earlier version. Organisations that didn't
                change are taken over, so that their keys aren't hashed again.
        """
        self._salt = previous._salt if previous else _new_salt()
        self._by_digest: dict[bytes, published.Organisation] = {}
        self._by_name: dict[str, _Entry] = {}
        for organisation in organisations:
            self._add(organisation, previous)

    def _add(
        self,
        organisation: published.Organisation,
        previous: OrganisationRegistry | None,
    ) -> None:
        name = organisation.name
        known = previous._by_name.get(name) if previous else None
        if known is not None and known.organisation.keys == organisation.keys:
            digests = known.digests
        else:
            digests = tuple(self._digest(key) for key in organisation.keys)
        self._by_name[name] = _Entry(organisation, digests)
        for digest in digests:
            self._by_digest[digest] = organisation

    def by_key(self, key: str) -> published.Organisation | None:
        """Returns the organisation that holds a key, None for an unknown key.

        Args:
            key: The key as received; characters up to U+00FF.
        """
        return self._by_digest.get(self._digest(key))

    def by_name(self, name: str) -> published.Organisation | None:
        """Returns an organisation, None if there is none of that name."""
        entry = self._by_name.get(name)
        return entry.organisation if entry else None

    def _digest(self, key: str) -> bytes:
        return hashlib.blake2b(
            key.encode(), key=self._salt, digest_size=_DIGEST_BYTES
        ).digest()


def _new_salt() -> bytes:
    return secrets.token_bytes(_SALT_BYTES)
