"""Forwarding of one request with retries at other targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import leaving
from sardinedoor_node.ingress import offers
from sardinedoor_node.limits import retries
from sardinedoor_node.owner import ledger
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node import directory
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.ingress import exchanges
    from sardinedoor_node.ingress import holding
    from sardinedoor_node.owner import placement
    from sardinedoor_node.util import clock

ForwardResult = attempt.ForwardResult
Job = attempt.Job

_MAX_ATTEMPTS = 3
_MAX_PICKS = 8
_MAX_LOST_CONNECTIONS = 2
_FREE_REFUSALS = frozenset(
    {
        codes.Code.LINK_DOWN,
        codes.Code.TARGET_EJECTED,
        codes.Code.TARGET_LIMITED,
    }
)
_LEAVING = frozenset({codes.Code.TARGET_LEAVING, codes.Code.WORKER_DRAINED})
# These refusals depend on the request, not on the owner: every other owner
# would refuse it too.
_FINAL = frozenset({codes.Code.QUARANTINED, codes.Code.ORGANISATION_OVER_SHARE})


class _Attempts:
    """The attempts made for one request and their results."""

    def __init__(self, leaving_workers: set[str]):
        self.tried = leaving_workers
        self.unknown_results: list[ForwardResult] = []
        self.last_result = ForwardResult(codes.Code.NO_TARGET)
        self.count = 0

    def add(self, choice: picking.Choice, result: ForwardResult) -> None:
        """Adds an attempt; one that occupied no slot isn't counted."""
        self.tried.add(choice.target.worker)
        self.last_result = result
        if result.code in _FREE_REFUSALS:
            return
        self.count += 1
        if codes.outcome(result.code) is codes.Outcome.UNKNOWN:
            self.unknown_results.append(result)

    def result(self) -> ForwardResult:
        """Returns the combined result of all attempts."""
        answered = (
            codes.outcome(self.last_result.code) is codes.Outcome.ANSWERED
        )
        if answered or not self.unknown_results:
            return self.last_result
        return self.unknown_results[-1]


class Forwarder:
    """Forwards requests to owners within the retry budget."""

    def __init__(
        self,
        members: directory.Directory,
        transport: link.Transport,
        picker: picking.Picker,
        open_exchanges: exchanges.ExchangeTable,
        key_placement: placement.KeyPlacement,
        hold_policy: holding.HoldPolicy,
        counters: metrics.Metrics,
        time: clock.Clock,
        own_departure: departure.Departure | None = None,
    ):
        """Stores the collaborators.

        Args:
            members: Lists targets and the nodes that own them.
            transport: The node's links.
            picker: Picks the target of each attempt.
            open_exchanges: Correlates owners' messages with exchanges.
            key_placement: Maps idempotency keys to their home workers.
            hold_policy: Decides which requests need a hold first.
            counters: Counts retries and events.
            time: The clock.
            own_departure: Tells when this node ends; by default it doesn't.
        """
        self._departure = own_departure or departure.Departure(time)
        self._members = members
        self._picker = picker
        self._offer_sender = offers.OfferSender(
            members, transport, picker, open_exchanges, hold_policy, time
        )
        self._key_placement = key_placement
        self._metrics = counters
        self._clock = time
        self._budgets = retries.RetryBudgets()
        self._leaving_workers = leaving.LeavingWorkers()

    async def forward(self, job: Job) -> ForwardResult:
        """Tries targets until one outcome is final.

        Args:
            job: The request.

        Returns:
            The combined result of all attempts. It is "not run" only if each
            attempt was not run.
        """
        attempts = _Attempts(
            self._leaving_workers.current(self._clock.monotonic())
        )
        try:
            async with self._departure.withdrawal(job):
                if job.is_keyed:
                    return await self._forward_to_home(job)
                await self._make_attempts(job, attempts)
        except TimeoutError:
            if not job.withdrawn:
                raise
            attempts.last_result = ForwardResult(codes.Code.NODE_LEAVING)
        return attempts.result()

    async def _make_attempts(self, job: Job, attempts: _Attempts) -> None:
        budget = self._budgets.for_service(job.service)
        for _ in range(_MAX_PICKS):
            choice = self._choose(job, attempts)
            if choice is None:
                break
            attempts.add(choice, await self._offer_sender.send(job, choice))
            if not self._allows_retry(job, attempts, budget):
                break
            self._metrics.retry(attempts.last_result.code.name.lower())
        if codes.outcome(attempts.result().code) is codes.Outcome.ANSWERED:
            budget.deposit()

    def _choose(self, job: Job, attempts: _Attempts) -> picking.Choice | None:
        if attempts.count == _MAX_ATTEMPTS:
            return None
        if self._remaining_s(job) <= 0:
            attempts.last_result = ForwardResult(codes.Code.DEADLINE_EXPIRED)
            return None
        if self._clock.monotonic() > self._departure.latest_start(job):
            attempts.last_result = ForwardResult(codes.Code.NODE_LEAVING)
            return None
        candidates = self._members.targets(job.service)
        choice = self._picker.pick(candidates, attempts.tried, job.idempotent)
        if choice is not None and choice.rotation is not worker.Rotation.IN:
            self._metrics.event(f"offered_as_{choice.rotation.value}")
        return choice

    def _allows_retry(
        self, job: Job, attempts: _Attempts, budget: retries.RetryBudget
    ) -> bool:
        """Decides on another attempt, and charges it to the retry budget."""
        last = attempts.last_result
        if last.code in _FREE_REFUSALS:
            return True
        if last.code in _LEAVING:
            self._leaving_workers.add(last.worker, self._clock.monotonic())
        if not _is_retryable(job, last, attempts.unknown_results):
            return False
        if budget.withdraw():
            return True
        self._metrics.event("retry_budget_spent")
        attempts.last_result = _result_without_budget(last)
        return False

    async def _forward_to_home(self, job: Job) -> ForwardResult:
        """Offers a request to the home worker of its idempotency key only."""
        if not ledger.is_valid_key(job.key):
            return ForwardResult(codes.Code.KEY_INVALID)
        service = job.service
        scoped_key = ledger.scope_digest(
            job.team, service, job.organisation, job.key
        )
        home = self._key_placement.home_worker(service, scoped_key)
        for target in self._members.targets(service):
            if target.worker == home:
                choice = picking.Choice(target)
                return _result_from_home(
                    await self._offer_sender.send(job, choice)
                )
        return ForwardResult(codes.Code.HOME_UNREACHABLE)

    def _remaining_s(self, job: Job) -> float:
        return job.deadline - self._clock.monotonic()


def _result_without_budget(result: ForwardResult) -> ForwardResult:
    if codes.outcome(result.code) is codes.Outcome.NOT_RUN:
        return ForwardResult(codes.Code.RETRY_BUDGET_SPENT, result.worker)
    return result


def _is_retryable(
    job: Job, result: ForwardResult, unknown_results: list[ForwardResult]
) -> bool:
    outcome = codes.outcome(result.code)
    if result.code in _FINAL:
        return False
    if outcome is codes.Outcome.NOT_RUN:
        return True
    if outcome is codes.Outcome.ANSWERED or not job.idempotent:
        return False
    lost = codes.Code.TARGET_CONNECTION_LOST
    return sum(u.code == lost for u in unknown_results) < _MAX_LOST_CONNECTIONS


def _result_from_home(result: ForwardResult) -> ForwardResult:
    if result.code == codes.Code.LINK_DOWN:
        return ForwardResult(codes.Code.HOME_UNREACHABLE, result.worker)
    return result
