"""Mechanisms of the replicas of published items."""

from __future__ import annotations

from mechanisms import mechanism

_PUBLISHED_TESTS = ("tests/test_published",)
MECHANISMS = [
    mechanism.Mechanism(
        "a configuration never goes back",
        "published/catalog.py",
        "configuration.version <= current.version",
        "False",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "entries that expired in an outage of the store may return",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        "return False",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "the store is up while peers reach it",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        "return self._store_unreachable",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "late gossip of the store is no outage",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        'return OUTAGE_S < silent_s < float("inf")',
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "of entries at one address the newest counts",
        "published/catalog.py",
        "for entry in sorted(found, key=self._start_order):",
        "for entry in reversed(sorted(found, key=self._start_order)):",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "items cross failure domains only if they are overdue",
        "published/antientropy.py",
        "elif self._fleet.is_in_other_domain(digest.link, self._domain):",
        "elif False:",
        _PUBLISHED_TESTS,
    ),
]
