"""Mechanisms of exchanges, which the fault grid tests."""

from __future__ import annotations

from mechanisms import mechanism

MECHANISMS = [
    mechanism.Mechanism(
        "offers are taken once",
        "owner/exchange.py",
        "if not self._offer_ids.add(offer.id):",
        "if not (self._offer_ids.add(offer.id) or True):",
    ),
    mechanism.Mechanism(
        "an attached request names the owner's incarnation",
        "owner/exchange.py",
        "if offer.owner and offer.owner != self._incarnation:",
        "if False:",
    ),
    mechanism.Mechanism(
        "a refusal names the ticket of the go",
        "ingress/attempt.py",
        "return message.ticket == self._ticket",
        "return True",
    ),
    mechanism.Mechanism(
        "a used ticket is not taken for a lapsed one",
        "owner/holds.py",
        "        if used:\n            return\n",
        "",
    ),
    mechanism.Mechanism(
        "a lapsed hold never runs",
        "owner/exchange.py",
        "if go is None or self._clock.monotonic() > hold.lapses_at:",
        "if go is None:",
    ),
    mechanism.Mechanism(
        "one unknown attempt makes the request unknown",
        "ingress/forward.py",
        "        return self.unknown_results[-1]\n",
        "        return self.last_result\n",
    ),
    mechanism.Mechanism(
        "unknown is not retried unless idempotent",
        "ingress/forward.py",
        "if outcome is codes.Outcome.ANSWERED or not job.idempotent:",
        "if outcome is codes.Outcome.ANSWERED:",
    ),
    mechanism.Mechanism(
        "silence after go is unknown",
        "ingress/attempt.py",
        "return self._failure(codes.Code.REPLY_TIMEOUT)",
        "return self._failure(codes.Code.HOLD_TIMEOUT)",
    ),
    mechanism.Mechanism(
        "replies carry a digest",
        "ingress/attempt.py",
        "if not is_whole or digests.of_reply(message) != message.digest:",
        "if False:",
    ),
    mechanism.Mechanism(
        "correlation ids carry the incarnation",
        "ingress/exchanges.py",
        "self._incarnation + struct",
        "bytes(16) + struct",
    ),
    mechanism.Mechanism(
        "a key runs at its home only",
        "ingress/attempt.py",
        "return bool(self.key) and not self.idempotent",
        "return False",
    ),
    mechanism.Mechanism(
        "the home waits for a running key",
        "owner/keyed.py",
        "while (entry := self._ledger.find(scope)) is not None:",
        "while (entry := self._ledger.find(scope)) and not entry.running:",
    ),
    mechanism.Mechanism(
        "a key that may have run is kept",
        "owner/keyed.py",
        "if not open_exchange.run_started or _was_not_run(message):",
        "if not isinstance(message, wire.Reply):",
    ),
    mechanism.Mechanism(
        "a key from before the start of the ledger is refused",
        "owner/ledger.py",
        "        if time_ms < covered_from_ms:\n",
        "        if False:\n",
    ),
    mechanism.Mechanism(
        "a key that may have run at a former home is refused",
        "owner/placement.py",
        "since_ms = max(since_ms, former.ended_ms + CHANGE_GUARD_MS)",
        "pass",
    ),
    mechanism.Mechanism(
        "a home that starts assumes that its workers have just changed",
        "owner/placement.py",
        "self._history_from_ms[service] = now_ms + CHANGE_GUARD_MS",
        "self._history_from_ms[service] = 0",
    ),
    mechanism.Mechanism(
        "the ledger allows for clock skew",
        "owner/ledger.py",
        "self.covered_from_ms = self.now_ms() + CLOCK_SKEW_MS",
        "self.covered_from_ms = self.now_ms()",
    ),
    mechanism.Mechanism(
        "the owner checks that it is home",
        "owner/keyed.py",
        "if self._placement.home_worker(offer.service, scope) != worker.name:",
        "if False:",
    ),
    mechanism.Mechanism(
        "a crash is told to the other owners",
        "owner/crashnotices.py",
        "            channel.send(notice)\n",
        "            del channel\n",
    ),
    mechanism.Mechanism(
        "two crashes quarantine a request",
        "owner/quarantine.py",
        "if len(suspect.crashes) >= CRASH_LIMIT:\n            return True",
        "if len(suspect.crashes) >= CRASH_LIMIT:\n            return False",
    ),
    mechanism.Mechanism(
        "a suspect runs at one target at a time",
        "owner/quarantine.py",
        "return suspect.trial_ends > self._clock.monotonic()",
        "return False",
    ),
    mechanism.Mechanism(
        "an answer clears a suspect",
        "owner/quarantine.py",
        "        if self._clear(fingerprint):\n            notice",
        "        if False:\n            notice",
    ),
    mechanism.Mechanism(
        "what is answered elsewhere is no suspect",
        "owner/quarantine.py",
        "return self._clock.monotonic() - answered_at < IMMUNITY_MS / 1000",
        "return False",
    ),
    mechanism.Mechanism(
        "a trial ends with its request",
        "owner/exchange.py",
        "            self._quarantine.on_run_ended(fingerprint)\n",
        "            pass\n",
    ),
    mechanism.Mechanism(
        "a request that isn't idempotent takes a fresh connection",
        "owner/target.py",
        "math.inf if idempotent else self._max_reuse_idle_s",
        "math.inf",
    ),
    mechanism.Mechanism(
        "a silent kept connection is replaced",
        "owner/target.py",
        "silence_deadline = min(deadline, now + self._silence_timeout_s)",
        "silence_deadline = deadline",
    ),
    mechanism.Mechanism(
        "a silent node link is replaced",
        "link/zeromq.py",
        "            _configure_heartbeat(dealer, self._heartbeat_ms)\n",
        "            pass\n",
    ),
]
