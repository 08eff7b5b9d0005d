"""Mechanisms of the replicas of published items, and of their tasks."""

from __future__ import annotations

from mechanisms import mechanism

_PUBLISHED_TESTS = ("tests/test_published",)
_UTIL_TESTS = ("tests/test_util",)
MECHANISMS = [
    mechanism.Mechanism(
        "a configuration never goes back",
        "published/inforce.py",
        "offered.version <= self.value.version",
        "False",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "entries that expired in an outage of the store may return",
        "published/contact.py",
        'return self._unreachable and OUTAGE_S < self.age_s < float("inf")',
        "return False",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "the store is up while peers reach it",
        "published/contact.py",
        'return self._unreachable and OUTAGE_S < self.age_s < float("inf")',
        "return self._unreachable",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "late gossip of the store is no outage",
        "published/contact.py",
        'return self._unreachable and OUTAGE_S < self.age_s < float("inf")',
        'return OUTAGE_S < self.age_s < float("inf")',
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "of entries at one address the newest counts",
        "published/workerindex.py",
        "for entry in sorted(found, key=self._precedence):",
        "for entry in reversed(sorted(found, key=self._precedence)):",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "items cross failure domains only if they are overdue",
        "published/antientropy.py",
        "is_far = self._fleet.is_in_other_domain(digest.link, self._domain)",
        "is_far = False",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "entries of services that aren't configured are no peers",
        "published/fleet.py",
        "if not self._catalog.is_configured(entry.service):",
        "if False:",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "entries of services that aren't configured replace no worker",
        "published/workerindex.py",
        "self._is_configured(entry.service),",
        "True,",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "a node without contact reads the store",
        "published/follower.py",
        "return self._replica.contact_age_s > wait_s",
        "return self._replica.contact_age_s > 4.0",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "contacts are pushed",
        "published/antientropy.py",
        "replica.on_contact(self._push_contact)",
        "pass",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "silent peers aren't live",
        "published/liveness.py",
        "return [n for n in names if self._last_sign_at(n) >= oldest]",
        "return names",
        _PUBLISHED_TESTS,
    ),
    mechanism.Mechanism(
        "a listener that raises doesn't silence the next",
        "util/listeners.py",
        "except Exception:",
        "except ZeroDivisionError:",
        _UTIL_TESTS,
    ),
    mechanism.Mechanism(
        "a task that ends is started again",
        "util/tasks.py",
        "except Exception as e:",
        "except ZeroDivisionError as e:",
        _UTIL_TESTS,
    ),
    mechanism.Mechanism(
        "an address that can't be opened raises nothing",
        "link/zeromq.py",
        "except zmq.ZMQError as e:",
        "except ZeroDivisionError as e:",
        ("tests/test_link/test_link_unusable.py",),
    ),
]
