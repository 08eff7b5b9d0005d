"""Mechanisms of connections to targets and links between nodes."""

from __future__ import annotations

from mechanisms import mechanism

_TARGET_TESTS = (
    "tests/test_owner/test_owner_latecopies.py",
    "tests/test_owner/test_owner_target.py",
)
_RESUME_TESTS = ("tests/test_ingress/test_ingress_resume.py",)
MECHANISMS = [
    mechanism.Mechanism(
        "responses on a reused connection name their request",
        "owner/target.py",
        "if answered_id or is_reused or self._dialect.requires_answered_id:",
        "if answered_id or self._dialect.requires_answered_id:",
        _TARGET_TESTS,
    ),
    mechanism.Mechanism(
        "a connection whose responses name no request isn't reused",
        "owner/target.py",
        "if not answered_id or answered_id != request_id:",
        "if False:",
        _TARGET_TESTS,
    ),
    mechanism.Mechanism(
        "a connection carries each id once",
        "owner/connections.py",
        "or request_id in connection.request_ids",
        "or False",
        _TARGET_TESTS,
    ),
    mechanism.Mechanism(
        "an answer is kept until its link is restored",
        "owner/exchange.py",
        "        self._finished.add(exchange.offer.id, message)\n",
        "",
        _RESUME_TESTS,
    ),
    mechanism.Mechanism(
        "a request whose go was lost is refused as not run",
        "owner/exchange.py",
        "                exchange.ticket = resume.ticket\n",
        "                pass\n",
        _RESUME_TESTS,
    ),
    mechanism.Mechanism(
        "a restarted owner vouches for nothing",
        "owner/exchange.py",
        "if resume.owner == self._incarnation and not was_seen:",
        "if not was_seen:",
        _RESUME_TESTS,
    ),
]
