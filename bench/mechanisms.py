"""Source mutations that disable one mechanism of the node each."""

from __future__ import annotations

import dataclasses
import pathlib

SOURCE_FOLDER = (
    pathlib.Path(__file__).resolve().parent.parent / "packages/node/src"
)
PACKAGE_NAME = "sardinedoor_node"
_ROUTING_TESTS = tuple(
    f"tests/{name}"
    for name in (
        "test_ingress/test_ingress_failover.py",
        "test_ingress/test_ingress_load.py",
        "test_ingress/test_ingress_nesting.py",
        "test_limits/test_limits_retrywindow.py",
        "test_picking/test_picking_leastcost.py",
    )
)
_PUBLISHED_TESTS = ("tests/test_published",)
_TARGET_TESTS = (
    "tests/test_owner/test_owner_latecopies.py",
    "tests/test_owner/test_owner_target.py",
)
_RESUME_TESTS = ("tests/test_ingress/test_ingress_resume.py",)


@dataclasses.dataclass(slots=True)
class Mechanism:
    """A mechanism and the replacement of source text that disables it.

    Attributes:
        name: Description in the report of `mutants.py`.
        file: Path of the source file, relative to the package.
        old: Source text of the mechanism; occurs exactly once in the file.
        new: Text that replaces it in the mutant.
        tests: Paths of the tests to run on the mutant; if empty, the fault
            grid and the tests of exchanges run.
    """

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...] = ()


MECHANISMS = [
    Mechanism(
        "offers are taken once",
        "owner/exchange.py",
        "if not self._offer_ids.add(offer.id):",
        "if not (self._offer_ids.add(offer.id) or True):",
    ),
    Mechanism(
        "an attached request names the owner's incarnation",
        "owner/exchange.py",
        "if offer.owner and offer.owner != self._incarnation:",
        "if False:",
    ),
    Mechanism(
        "a refusal names the ticket of the go",
        "ingress/attempt.py",
        "return message.ticket == self._ticket",
        "return True",
    ),
    Mechanism(
        "a used ticket is not taken for a lapsed one",
        "owner/holds.py",
        "        if used:\n            return\n",
        "",
    ),
    Mechanism(
        "a lapsed hold never runs",
        "owner/exchange.py",
        "if go is None or self._clock.monotonic() > hold.lapses_at:",
        "if go is None:",
    ),
    Mechanism(
        "one unknown attempt makes the request unknown",
        "ingress/forward.py",
        "        return self.unknown_results[-1]\n",
        "        return self.last_result\n",
    ),
    Mechanism(
        "unknown is not retried unless idempotent",
        "ingress/forward.py",
        "if outcome is codes.Outcome.ANSWERED or not job.idempotent:",
        "if outcome is codes.Outcome.ANSWERED:",
    ),
    Mechanism(
        "silence after go is unknown",
        "ingress/attempt.py",
        "return self._failure(codes.Code.REPLY_TIMEOUT)",
        "return self._failure(codes.Code.HOLD_TIMEOUT)",
    ),
    Mechanism(
        "replies carry a digest",
        "ingress/attempt.py",
        "if not is_whole or digests.of_reply(message) != message.digest:",
        "if False:",
    ),
    Mechanism(
        "correlation ids carry the incarnation",
        "ingress/exchanges.py",
        "self._incarnation + struct",
        "bytes(16) + struct",
    ),
    Mechanism(
        "a key runs at its home only",
        "ingress/attempt.py",
        "return bool(self.key) and not self.idempotent",
        "return False",
    ),
    Mechanism(
        "the home waits for a running key",
        "owner/keyed.py",
        "while (entry := self._ledger.find(scope)) is not None:",
        "while (entry := self._ledger.find(scope)) and not entry.running:",
    ),
    Mechanism(
        "a key that may have run is kept",
        "owner/keyed.py",
        "if not open_exchange.run_started or _was_not_run(message):",
        "if not isinstance(message, wire.Reply):",
    ),
    Mechanism(
        "a key from before the start of the ledger is refused",
        "owner/ledger.py",
        "        if time_ms < covered_from_ms:\n",
        "        if False:\n",
    ),
    Mechanism(
        "a key that may have run at a former home is refused",
        "owner/placement.py",
        "since_ms = max(since_ms, former.ended_ms + CHANGE_GUARD_MS)",
        "pass",
    ),
    Mechanism(
        "a home that starts assumes that its workers have just changed",
        "owner/placement.py",
        "self._history_from_ms[service] = now_ms + CHANGE_GUARD_MS",
        "self._history_from_ms[service] = 0",
    ),
    Mechanism(
        "the ledger allows for clock skew",
        "owner/ledger.py",
        "self.covered_from_ms = self.now_ms() + CLOCK_SKEW_MS",
        "self.covered_from_ms = self.now_ms()",
    ),
    Mechanism(
        "the owner checks that it is home",
        "owner/keyed.py",
        "if self._placement.home_worker(offer.service, scope) != worker.name:",
        "if False:",
    ),
    Mechanism(
        "a crash is told to the other owners",
        "owner/crashnotices.py",
        "            channel.send(notice)\n",
        "            del channel\n",
    ),
    Mechanism(
        "two crashes quarantine a request",
        "owner/quarantine.py",
        "if len(suspect.crashes) >= CRASH_LIMIT:\n            return True",
        "if len(suspect.crashes) >= CRASH_LIMIT:\n            return False",
    ),
    Mechanism(
        "a suspect runs at one target at a time",
        "owner/quarantine.py",
        "return suspect.trial_ends > self._clock.monotonic()",
        "return False",
    ),
    Mechanism(
        "an answer clears a suspect",
        "owner/quarantine.py",
        "        if self._clear(fingerprint):\n            notice",
        "        if False:\n            notice",
    ),
    Mechanism(
        "what is answered elsewhere is no suspect",
        "owner/quarantine.py",
        "return self._clock.monotonic() - answered_at < IMMUNITY_MS / 1000",
        "return False",
    ),
    Mechanism(
        "a trial ends with its request",
        "owner/exchange.py",
        "            self._quarantine.on_run_ended(fingerprint)\n",
        "            pass\n",
    ),
    Mechanism(
        "a request that isn't idempotent takes a fresh connection",
        "owner/target.py",
        "math.inf if idempotent else self._max_reuse_idle_s",
        "math.inf",
    ),
    Mechanism(
        "responses on a reused connection name their request",
        "owner/target.py",
        "if answered_id or is_reused or self._dialect.requires_answered_id:",
        "if answered_id or self._dialect.requires_answered_id:",
        _TARGET_TESTS,
    ),
    Mechanism(
        "a connection whose responses name no request isn't reused",
        "owner/target.py",
        "if not answered_id or answered_id != request_id:",
        "if False:",
        _TARGET_TESTS,
    ),
    Mechanism(
        "a connection carries each id once",
        "owner/connections.py",
        "or request_id in connection.request_ids",
        "or False",
        _TARGET_TESTS,
    ),
    Mechanism(
        "a silent kept connection is replaced",
        "owner/target.py",
        "silence_deadline = min(deadline, now + self._silence_timeout_s)",
        "silence_deadline = deadline",
    ),
    Mechanism(
        "a silent node link is replaced",
        "link/zeromq.py",
        "            _configure_heartbeat(dealer, self._heartbeat_ms)\n",
        "            pass\n",
    ),
    Mechanism(
        "an answer is kept until its link is restored",
        "owner/exchange.py",
        "        self._finished.add(exchange.offer.id, message)\n",
        "",
        _RESUME_TESTS,
    ),
    Mechanism(
        "a request whose go was lost is refused as not run",
        "owner/exchange.py",
        "                exchange.ticket = resume.ticket\n",
        "                pass\n",
        _RESUME_TESTS,
    ),
    Mechanism(
        "a restarted owner vouches for nothing",
        "owner/exchange.py",
        "if resume.owner == self._incarnation and not was_seen:",
        "if not was_seen:",
        _RESUME_TESTS,
    ),
    Mechanism(
        "work that may have run is repeated only if idempotent",
        "ingress/strategy.py",
        "job.idempotent and len(progress.may_have_run)",
        "len(progress.may_have_run)",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "rejected arrivals draw on the budget",
        "ingress/strategy.py",
        "                code in _WORKER_REFUSALS\n"
        "                and not budget.withdraw(now, rerun=False)\n",
        "                False\n",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "one of several offers that wait is redeemed",
        "ingress/failover.py",
        "return self._winner is current",
        "return True",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "the first slot ends the wait in other queues",
        "ingress/failover.py",
        "                task.cancel()\n        return self",
        "                pass\n        return self",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "an offer that waits for a slot can be withdrawn",
        "owner/exchange.py",
        "return not self.run_started and not self.offer.key",
        "return False",
        (*_ROUTING_TESTS, "tests/test_owner/test_owner_exchange.py"),
    ),
    Mechanism(
        "a request that can't be repeated is no trial",
        "owner/breaker.py",
        "if not offer.may_repeat or now < self._next_trial_at:",
        "if now < self._next_trial_at:",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "calls that workers make earn no retries",
        "ingress/failover.py",
        "        if job.nested:\n",
        "        if False:\n",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "reruns leave a margin for the calls that they repeat",
        "limits/retrywindow.py",
        "return not rerun or len(self._reruns) + 1 <= limit",
        "return True",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "calls of repeated runs are charged",
        "limits/retrywindow.py",
        "        if repeated_runs:\n",
        "        if False:\n",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "a restart gives no second burst",
        "limits/retrywindow.py",
        "_FIRST_WINDOW_BURST_SHARE if now < self._full_burst_at else 1.0",
        "1.0",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "nodes that left count in the fleet's size for a window",
        "limits/retrywindow.py",
        "max(1, self._current_max, self._previous_max)",
        "max(1, self._count_nodes())",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "a route used while the worker is idle is used by callers",
        "ingress/nesting.py",
        "return self._idle_arrivals[route] < _IDLE_SHARE * arrivals",
        "return True",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "targets that may fail cost more",
        "picking/leastcost.py",
        "_FAILING_COST = 3.0",
        "_FAILING_COST = 0.0",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "remote targets are sampled",
        "picking/leastcost.py",
        "_REMOTE_SAMPLE_SIZE = 2",
        "_REMOTE_SAMPLE_SIZE = 0",
        _ROUTING_TESTS,
    ),
    Mechanism(
        "a configuration never goes back",
        "published/catalog.py",
        "configuration.version <= current.version",
        "False",
        _PUBLISHED_TESTS,
    ),
    Mechanism(
        "entries that expired in an outage of the store may return",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        "return False",
        _PUBLISHED_TESTS,
    ),
    Mechanism(
        "the store is up while peers reach it",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        "return self._store_unreachable",
        _PUBLISHED_TESTS,
    ),
    Mechanism(
        "late gossip of the store is no outage",
        "published/catalog.py",
        'return self._store_unreachable and OUTAGE_S < silent_s < float("inf")',
        'return OUTAGE_S < silent_s < float("inf")',
        _PUBLISHED_TESTS,
    ),
    Mechanism(
        "of entries at one address the newest counts",
        "published/catalog.py",
        "for entry in sorted(found, key=self._start_order):",
        "for entry in reversed(sorted(found, key=self._start_order)):",
        _PUBLISHED_TESTS,
    ),
    Mechanism(
        "items cross failure domains only if they are overdue",
        "published/antientropy.py",
        "elif self._fleet.is_in_other_domain(digest.link, self._domain):",
        "elif False:",
        _PUBLISHED_TESTS,
    ),
]


def missing_texts() -> list[str]:
    """Names the mechanisms whose text isn't exactly once in the source."""
    package = SOURCE_FOLDER / PACKAGE_NAME
    return [
        mechanism.name
        for mechanism in MECHANISMS
        if (package / mechanism.file).read_text().count(mechanism.old) != 1
    ]
