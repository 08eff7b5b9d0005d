"""Mechanisms of stops of nodes and departures of targets."""

from __future__ import annotations

from mechanisms import mechanism

_TESTS = (
    "tests/test_ingress/test_ingress_departure.py",
    "tests/test_ingress/test_ingress_failover.py",
    "tests/test_ingress/test_ingress_leavingseeds.py",
    "tests/test_owner/test_owner_exchange.py",
)
MECHANISMS = [
    mechanism.Mechanism(
        "waits end before their node does",
        "ingress/departure.py",
        "return self.ends_at - max(run_s, _ANSWER_TIME_S)",
        "return math.inf",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a request that waits when its node is stopped is withdrawn",
        "ingress/departure.py",
        "        for request in self._open:\n",
        "        for request in ():\n",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a run in flight is not withdrawn",
        "ingress/departure.py",
        "request not in self._open or request.job.runs_in_flight",
        "request not in self._open",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a slot granted after the withdrawal is not used",
        "ingress/attempt.py",
        "        if self._job.withdrawn:\n"
        "            return codes.Code.NODE_LEAVING\n",
        "",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a withdrawn request isn't sent with an offer",
        "ingress/attempt.py",
        "        if self._job.withdrawn:\n            return self._failure",
        "        if False:\n            return self._failure",
        _TESTS,
    ),
    mechanism.Mechanism(
        "an ingress uses no slot of a target that leaves",
        "ingress/attempt.py",
        "if self._is_leaving is not None and self._is_leaving():",
        "if False:",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a refused request is no longer in flight",
        "ingress/attempt.py",
        "                self._job.runs_in_flight -= 1\n",
        "                pass\n",
        _TESTS,
    ),
    mechanism.Mechanism(
        "a request that lost its place waits in another queue",
        "ingress/strategy.py",
        "            progress.waited = False\n",
        "            pass\n",
        _TESTS,
    ),
    mechanism.Mechanism(
        "the queue of a leaving worker or node is closed",
        "owner/workers.py",
        "count = self._admission.refuse_waiting(code)",
        "count = 0",
        _TESTS,
    ),
    mechanism.Mechanism(
        "an owner checks again before a run",
        "owner/exchange.py",
        "            if code is not None:\n"
        "                return self._refuse(exchange, worker, code)\n",
        "",
        _TESTS,
    ),
]
