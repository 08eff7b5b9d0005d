"""Takes one request to owners until an outcome is final."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import avoid
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

Forwarded = attempt.Forwarded
Job = attempt.Job

_MAX_ATTEMPTS = 3
_MAX_PICKS = 8
_MAX_LOST = 2
_FREE = frozenset({codes.Code.LINK_DOWN, codes.Code.TARGET_EJECTED})
_LEAVING = frozenset({codes.Code.TARGET_LEAVING, codes.Code.WORKER_DRAINED})
# Any other owner would refuse as well.
_FINAL = frozenset({codes.Code.QUARANTINED, codes.Code.ORGANISATION_OVER_SHARE})


class _Course:
    """The attempts at one request so far."""

    def __init__(self, avoided: set[str]):
        self.tried = avoided
        self.unknown: list[Forwarded] = []
        self.last = Forwarded(codes.Code.NO_TARGET)
        self.attempts = 0

    def add(self, choice: picking.Choice, last: Forwarded) -> None:
        """Adds an attempt; one that took nobody's slot doesn't count."""
        self.tried.add(choice.target.worker)
        self.last = last
        if last.code in _FREE:
            return
        self.attempts += 1
        if codes.outcome(last.code) is codes.Outcome.UNKNOWN:
            self.unknown.append(last)

    def outcome(self) -> Forwarded:
        """Returns the outcome of all attempts together."""
        answered = codes.outcome(self.last.code) is codes.Outcome.ANSWERED
        if answered or not self.unknown:
            return self.last
        return self.unknown[-1]


class Forwarder:
    """Runs exchanges with owners."""

    def __init__(
        self,
        members: directory.Directory,
        transport: link.Transport,
        picker: picking.Picker,
        open_exchanges: exchanges.ExchangeTable,
        key_homes: placement.KeyPlacement,
        policy: holding.HoldPolicy,
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        self._members = members
        self._picker = picker
        self._offers = offers.Offers(
            members, transport, picker, open_exchanges, policy, time
        )
        self._homes = key_homes
        self._metrics = counters
        self._clock = time
        self._budgets = retries.RetryBudgets()
        self._avoided = avoid.AvoidList()

    async def forward(self, job: Job) -> Forwarded:
        """Tries targets until one outcome is final.

        Args:
            job: The request.

        Returns:
            The outcome of all attempts together: not run only if each of
            them was not run.
        """
        if job.keyed:
            return await self._forward_home(job)
        budget = self._budgets.of(job.service)
        course = _Course(self._avoided.current(self._clock.monotonic()))
        for _ in range(_MAX_PICKS):
            choice = self._choose(job, course)
            if choice is None:
                break
            course.add(choice, await self._offers.make(job, choice))
            if not self._goes_on(job, course, budget):
                break
            self._metrics.retry(course.last.code.name.lower())
        outcome = course.outcome()
        if codes.outcome(outcome.code) is codes.Outcome.ANSWERED:
            budget.answered()
        return outcome

    def _choose(self, job: Job, course: _Course) -> picking.Choice | None:
        if course.attempts == _MAX_ATTEMPTS:
            return None
        if self._remaining(job) <= 0:
            course.last = Forwarded(codes.Code.DEADLINE_EXPIRED)
            return None
        candidates = self._members.targets(job.service)
        choice = self._picker.pick(candidates, course.tried, job.idempotent)
        if choice is not None and choice.rotation is not worker.Rotation.IN:
            self._metrics.event(f"offered_as_{choice.rotation.value}")
        return choice

    def _goes_on(
        self, job: Job, course: _Course, budget: retries.RetryBudget
    ) -> bool:
        last = course.last
        if last.code in _FREE:
            return True
        if last.code in _LEAVING:
            self._avoided.add(last.worker, self._clock.monotonic())
        if not _may_retry(job, last, course.unknown):
            return False
        if budget.spend():
            return True
        self._metrics.event("retry_budget_spent")
        course.last = _without_budget(last)
        return False

    async def _forward_home(self, job: Job) -> Forwarded:
        if not ledger.is_valid_key(job.key):
            return Forwarded(codes.Code.KEY_INVALID)
        service = job.service
        name = ledger.scope_digest(job.team, service, job.organisation, job.key)
        home = self._homes.home_worker(service, name)
        for target in self._members.targets(service):
            if target.worker == home:
                choice = picking.Choice(target)
                return _at_home(await self._offers.make(job, choice))
        return Forwarded(codes.Code.HOME_UNREACHABLE)

    def _remaining(self, job: Job) -> float:
        return job.deadline - self._clock.monotonic()


def _without_budget(last: Forwarded) -> Forwarded:
    if codes.outcome(last.code) is codes.Outcome.NOT_RUN:
        return Forwarded(codes.Code.RETRY_BUDGET_SPENT, last.worker)
    return last


def _may_retry(job: Job, last: Forwarded, unknown: list[Forwarded]) -> bool:
    outcome = codes.outcome(last.code)
    if last.code in _FINAL:
        return False
    if outcome is codes.Outcome.NOT_RUN:
        return True
    if outcome is codes.Outcome.ANSWERED or not job.idempotent:
        return False
    lost = codes.Code.TARGET_CONNECTION_LOST
    return sum(u.code == lost for u in unknown) < _MAX_LOST


def _at_home(last: Forwarded) -> Forwarded:
    if last.code == codes.Code.LINK_DOWN:
        return Forwarded(codes.Code.HOME_UNREACHABLE, last.worker)
    return last
