"""Forwarding of one request with failover between owners and hedging."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import directory
    from sardinedoor_node import metrics
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import offers
    from sardinedoor_node.limits import retrywindow
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Largest number of offers for one request, including those that aren't charged
# to the retry budget, since each costs a round trip or a failed send.
MAX_OFFERS = 12
# Share of the latency objective during which a request is offered again to
# owners that had no slot, or whose link wasn't open. A refusal after that time
# would leave the caller too little of the objective to retry elsewhere.
SLOT_WAIT_SHARE = 0.3
# Share of the latency objective after which an idempotent request without a
# reply is also offered to a second target (hedging).
HEDGE_SHARE = 0.6
_SLOT_RETRY_INTERVAL_S = 0.03
# Lowest HTTP status of a server error.
_MIN_SERVER_ERROR_STATUS = 500
# The request occupied no slot of a worker, and other owners may still accept
# it, so failover after these codes isn't charged to the retry budget.
_FREE_REFUSALS = frozenset(
    {
        codes.Code.LINK_DOWN,
        codes.Code.TARGET_EJECTED,
        codes.Code.NODE_LEAVING,
        codes.Code.NOT_OWNER,
        codes.Code.WORKER_DRAINED,
    }
)
# The request reached a worker that didn't run it. The worker counts it as an
# arrival, so failover after these codes is charged to the retry budget.
_WORKER_REFUSALS = frozenset(
    {codes.Code.TARGET_REFUSED, codes.Code.TARGET_REPLACED}
)
# The owner has no slot for the request at the moment.
_NO_SLOT_REFUSALS = frozenset(
    {codes.Code.QUEUE_FULL, codes.Code.ORGANISATION_OVER_SHARE}
)
# The owner may accept the request a little later: a slot becomes free, or the
# link, which opens at the first offer, is ready.
_TEMPORARY_REFUSALS = _NO_SLOT_REFUSALS | {codes.Code.LINK_DOWN}
# The request is not offered to other owners after these codes.
_FINAL_REFUSALS = frozenset(
    {codes.Code.QUARANTINED, codes.Code.DEADLINE_EXPIRED}
)


@dataclasses.dataclass(slots=True)
class OfferRecord:
    """Log record of one offer.

    Attributes:
        worker: Name of the worker that the request was offered to.
        code: Result code of the offer.
        status: HTTP status of the worker's reply, 0 without a reply.
        unhealthy_percent: Estimated probability, when the target was picked,
            that it is unhealthy, in percent.
        duration_ms: Duration of the offer, in ms.
    """

    worker: str
    code: int
    status: int
    unhealthy_percent: int
    duration_ms: int


@dataclasses.dataclass(slots=True)
class Progress:
    """Offers made for one request, and their outcomes so far.

    Attributes:
        started_at: When the request arrived, monotonic, in s.
        tried: Names of the workers that it was offered to since the last wait,
            and of those that may have run it.
        may_have_run: Names of the workers that may have run it.
        offer_records: Log records of the offers that ended.
        last_result: Result of the offer that ended last.
        failure: The result unless a later offer succeeds: the newest reply
            with a server error, else the first failure without a reply.
        may_be_accepted_later: Whether an owner that didn't accept it may do so
            a little later.
        offer_count: Number of offers made.
        answered: Whether a worker replied without a server error.
        stopped: Whether no more offers may be made.
        hedge_decided: Whether the time for a hedge has come and it was allowed
            or denied; this happens at most once for each request.
        hedge_pending: Whether the retry budget allowed the hedge and its
            offer hasn't been made yet.
    """

    started_at: float
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: set[str] = dataclasses.field(default_factory=set)
    offer_records: list[OfferRecord] = dataclasses.field(default_factory=list)
    last_result: attempt.ForwardResult = dataclasses.field(
        default_factory=lambda: attempt.ForwardResult(codes.Code.NO_TARGET)
    )
    failure: attempt.ForwardResult | None = None
    may_be_accepted_later: bool = False
    offer_count: int = 0
    answered: bool = False
    stopped: bool = False
    hedge_decided: bool = False
    hedge_pending: bool = False

    def result(self) -> attempt.ForwardResult:
        """Returns the combined result of all offers.

        Its outcome is "not run" only if no worker may have run the request. A
        reply with a server error takes precedence over a failure without a
        reply.
        """
        last = self.last_result
        return last if self.answered else self.failure or last


class FailoverForwarder:
    """Offers requests to owners within run limits and retry budgets.

    The run limit of a request is `Job.max_runs`; each service has a retry
    budget.
    """

    def __init__(
        self,
        fleet: directory.Directory,
        picker: picking.Picker,
        offer_sender: offers.OfferSender,
        budgets: retrywindow.WindowedBudgets,
        repeated_runs: Callable[[], int],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Creates a forwarder.

        Args:
            fleet: Lists the targets of a service.
            picker: Picks one of them for each offer.
            offer_sender: Sends the offers to owners.
            budgets: Retry budgets of the services.
            repeated_runs: Returns the number of requests that the node's own
                worker is running after another worker may have run them.
            counters: Counts the results of offers by result code.
            time: Source of the monotonic time.
        """
        self._fleet = fleet
        self._picker = picker
        self._offer_sender = offer_sender
        self._budgets = budgets
        self._repeated_runs = repeated_runs
        self._metrics = counters
        self._clock = time

    async def forward(self, job: attempt.Job, progress: Progress) -> None:
        """Offers a request until it is answered or no offer may be made.

        Cancellation also cancels the offers in flight.

        Args:
            job: The request.
            progress: Updated with each offer and its result.
        """
        budget = self._budgets.for_service(job.service)
        now = self._clock.monotonic()
        # Only callers' requests add to the retry allowance.
        if job.nested:
            budget.record_call(now, self._repeated_runs())
        else:
            budget.record_request(now)
        in_flight: set[asyncio.Task] = set()
        try:
            while not progress.answered:
                if not in_flight or progress.hedge_pending:
                    choice = self._choose(job, progress, budget)
                    if choice is not None:
                        in_flight.add(self._start_offer(job, choice, progress))
                if in_flight:
                    in_flight = await self._wait_for_offers(
                        job, progress, budget, in_flight
                    )
                elif progress.stopped or not await self._wait_for_acceptance(
                    job, progress
                ):
                    return
        finally:
            for task in in_flight:
                task.cancel()

    def _start_offer(
        self, job: attempt.Job, choice: picking.Choice, progress: Progress
    ) -> asyncio.Task:
        job.repeats = progress.hedge_pending or bool(progress.may_have_run)
        progress.hedge_pending = False
        progress.offer_count += 1
        progress.tried.add(choice.target.worker)
        return asyncio.get_running_loop().create_task(
            self._offer(job, choice, progress)
        )

    async def _wait_for_offers(
        self,
        job: attempt.Job,
        progress: Progress,
        budget: retrywindow.WindowedBudget,
        in_flight: set[asyncio.Task],
    ) -> set[asyncio.Task]:
        """Waits until an offer ends or a hedge is due.

        Returns:
            The offers that are still in flight.
        """
        hedge_delay_s = self._hedge_delay_s(job, progress, in_flight)
        done, pending = await asyncio.wait(
            in_flight,
            timeout=hedge_delay_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            progress.hedge_decided = True
            progress.hedge_pending = budget.withdraw(
                self._clock.monotonic(), rerun=True
            )
            return pending
        for task in done:
            self._record_result(
                job, progress, budget, task.result(), bool(pending)
            )
        return pending

    def _choose(
        self,
        job: attempt.Job,
        progress: Progress,
        budget: retrywindow.WindowedBudget,
    ) -> picking.Choice | None:
        if progress.stopped or progress.offer_count >= MAX_OFFERS:
            return None
        now = self._clock.monotonic()
        may_repeat = (
            job.idempotent
            and job.max_runs > 1
            and budget.allows(now, rerun=True)
        )
        return self._picker.pick(
            self._fleet.targets(job.service), progress.tried, may_repeat
        )

    async def _wait_for_acceptance(
        self, job: attempt.Job, progress: Progress
    ) -> bool:
        """Waits before targets are tried again, if one may accept it by then.

        Returns:
            False if another round of offers isn't useful or would be late.
        """
        now = self._clock.monotonic()
        latest_retry_at = (
            progress.started_at + SLOT_WAIT_SHARE * job.objective_s
        )
        if (
            not progress.may_be_accepted_later
            or now + _SLOT_RETRY_INTERVAL_S > latest_retry_at
        ):
            return False
        await self._clock.sleep(_SLOT_RETRY_INTERVAL_S)
        progress.tried = set(progress.may_have_run)
        return True

    async def _offer(
        self, job: attempt.Job, choice: picking.Choice, progress: Progress
    ) -> attempt.ForwardResult:
        failing_probability = self._picker.failing_probability(choice.target)
        started_at = self._clock.monotonic()
        result = await self._offer_sender.send(job, choice)
        progress.offer_records.append(
            OfferRecord(
                choice.target.worker,
                int(result.code),
                result.reply.status if result.reply else 0,
                round(100 * failing_probability),
                round(1000 * (self._clock.monotonic() - started_at)),
            )
        )
        return result

    def _hedge_delay_s(
        self,
        job: attempt.Job,
        progress: Progress,
        in_flight: set[asyncio.Task],
    ) -> float | None:
        """Returns the time until a hedge is due, in s; None for no hedge."""
        if not job.idempotent or progress.hedge_decided or progress.stopped:
            return None
        if len(progress.may_have_run) + len(in_flight) >= job.max_runs:
            return None
        return HEDGE_SHARE * job.objective_s

    def _record_result(
        self,
        job: attempt.Job,
        progress: Progress,
        budget: retrywindow.WindowedBudget,
        result: attempt.ForwardResult,
        others_in_flight: bool,
    ) -> None:
        """Records the result of an offer and decides on further offers."""
        progress.last_result = result
        code = result.code
        if code in _TEMPORARY_REFUSALS:
            progress.may_be_accepted_later = True
        self._metrics.retry(code.name.lower())
        if code in _FREE_REFUSALS or code in _NO_SLOT_REFUSALS:
            return
        now = self._clock.monotonic()
        if codes.outcome(code) is codes.Outcome.NOT_RUN:
            progress.stopped = code in _FINAL_REFUSALS or (
                code in _WORKER_REFUSALS
                and not budget.withdraw(now, rerun=False)
            )
            return
        progress.may_have_run.add(result.worker)
        reply = result.reply
        if reply is not None and reply.status < _MIN_SERVER_ERROR_STATUS:
            progress.answered = True
            return
        if progress.failure is None or reply is not None:
            progress.failure = result
        if others_in_flight:
            return
        repeatable = (
            job.idempotent and len(progress.may_have_run) < job.max_runs
        )
        progress.stopped = not repeatable or not budget.withdraw(
            now, rerun=True
        )
        if repeatable and progress.stopped:
            self._metrics.event("retry_budget_spent")
