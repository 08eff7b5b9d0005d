"""Mechanisms of routing, retries and waiting."""

from __future__ import annotations

from mechanisms import mechanism

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
MECHANISMS = [
    mechanism.Mechanism(
        "work that may have run is repeated only if idempotent",
        "ingress/strategy.py",
        "job.idempotent and len(progress.may_have_run)",
        "len(progress.may_have_run)",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "rejected arrivals draw on the budget",
        "ingress/strategy.py",
        "                code in _WORKER_REFUSALS\n"
        "                and not budget.withdraw(now, rerun=False)\n",
        "                False\n",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "one of several offers that wait is redeemed",
        "ingress/failover.py",
        "return self._winner is current",
        "return True",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "the first slot ends the wait in other queues",
        "ingress/failover.py",
        "                task.cancel()\n        return self",
        "                pass\n        return self",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "an offer that waits for a slot can be withdrawn",
        "owner/openexchange.py",
        "return not self.run_started and not self.offer.key",
        "return False",
        (*_ROUTING_TESTS, "tests/test_owner/test_owner_exchange.py"),
    ),
    mechanism.Mechanism(
        "a request that can't be repeated is no trial",
        "owner/breaker.py",
        "        if not offer.may_repeat:\n",
        "        if False:\n",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "calls that workers make earn no retries",
        "ingress/failover.py",
        "        if job.may_be_nested:\n",
        "        if False:\n",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "reruns leave a margin for the calls that they repeat",
        "limits/retrywindow.py",
        "return not rerun or len(self._reruns) + 1 <= limit",
        "return True",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "calls of repeated runs are charged",
        "limits/retrywindow.py",
        "        if repeated_runs:\n",
        "        if False:\n",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "a restart gives no second burst",
        "limits/retrywindow.py",
        "_FIRST_WINDOW_BURST_SHARE if now < self._full_burst_at else 1.0",
        "1.0",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "nodes that left count in the fleet's size for a window",
        "limits/retrywindow.py",
        "max(1, self._current_max, self._previous_max)",
        "max(1, self._count_nodes())",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "a route used while the worker is idle is used by callers",
        "ingress/nesting.py",
        "return self._idle_arrivals[route] < _IDLE_SHARE * arrivals",
        "return True",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "targets that may fail cost more",
        "picking/leastcost.py",
        "_FAILING_COST = 3.0",
        "_FAILING_COST = 0.0",
        _ROUTING_TESTS,
    ),
    mechanism.Mechanism(
        "remote targets are sampled",
        "picking/leastcost.py",
        "_REMOTE_SAMPLE_SIZE = 2",
        "_REMOTE_SAMPLE_SIZE = 0",
        _ROUTING_TESTS,
    ),
]
