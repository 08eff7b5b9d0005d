"""Bounds further attempts by a share of what succeeds."""

from __future__ import annotations

SHARE = 0.15
BURST = 10.0


class RetryBudget:
    """Tokens for further attempts at one service.

    With S answered requests at most SHARE * S + BURST further attempts are
    made, whatever fails.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = BURST

    def answered(self) -> None:
        """Earns a share of a further attempt."""
        self._tokens = min(BURST, self._tokens + SHARE)

    def spend(self) -> bool:
        """Takes one attempt; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """The budgets of all services that this node has met as ingress."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget
