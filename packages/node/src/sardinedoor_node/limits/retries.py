"""Retry budgets as token buckets that responses refill."""

from __future__ import annotations

DEPOSIT_PER_ANSWER = 0.15
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket for the retries at one service.

    With S answered requests, at most DEPOSIT_PER_ANSWER * S + MAX_TOKENS
    retries are made, however many attempts fail.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Refills the bucket for one answered request."""
        self._tokens = min(MAX_TOKENS, self._tokens + DEPOSIT_PER_ANSWER)

    def withdraw(self) -> bool:
        """Spends the token for one retry; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """Retry budgets by service, for the requests that this node forwards."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service, initially a full bucket."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget
