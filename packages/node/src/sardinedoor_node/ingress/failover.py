"""Forwarding of one request: carries out the steps that `strategy` decides."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.admission import calltree
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.ingress import strategy
from sardinedoor_node.limits import hedging

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import directory
    from sardinedoor_node import metrics
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import attempt
    from sardinedoor_node.ingress import offers
    from sardinedoor_node.limits import retrywindow
    from sardinedoor_node.util import clock


class Race:
    """Offers of one request of which only one may be redeemed.

    Each waits in the queue of another owner. The first that gets a slot sends
    the request and cancels the others.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()
        self._winner: asyncio.Task | None = None

    def claim(self) -> bool:
        """Returns whether the current task may send the request."""
        current = asyncio.current_task()
        if self._winner is None:
            self._winner = current
            for task in self.tasks - {current}:
                task.cancel()
        return self._winner is current


@dataclasses.dataclass(slots=True)
class _Request:
    """A request being forwarded.

    Attributes:
        job: The request.
        progress: Offers made for it and their results.
        budget: Retry budget of its service.
        in_flight: Targets of the offers in flight, by task.
    """

    job: attempt.Job
    progress: requestprogress.Progress
    budget: retrywindow.WindowedBudget
    in_flight: dict[asyncio.Task, picking.Choice] = dataclasses.field(
        default_factory=dict
    )


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
        calls: calltree.CallTree | None = None,
        hedges: hedging.HedgePolicy | None = None,
        own_departure: departure.Departure | None = None,
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
            calls: Learns how the calls of the node's own worker fare.
            hedges: Allows extra work against slow answers; none by default.
            own_departure: Tells when this node ends; by default it doesn't.
        """
        self._departure = own_departure or departure.Departure(time)
        self._hedges = hedges or hedging.HedgePolicy()
        self._calls = calls or calltree.CallTree()
        self._fleet = fleet
        self._picker = picker
        self._strategy = strategy.OfferStrategy(
            picker, counters, self._departure
        )
        self._offer_sender = offer_sender
        self._budgets = budgets
        self._repeated_runs = repeated_runs
        self._metrics = counters
        self._clock = time

    async def forward(
        self, job: attempt.Job, progress: requestprogress.Progress
    ) -> None:
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
            self._calls.call_started(job.service)
        if job.may_be_nested:
            budget.record_call(now, self._repeated_runs())
        else:
            budget.record_request(now)
        request = _Request(job, progress, budget)
        if job.idempotent:
            self._hedges.request_started(job.service)
        try:
            async with self._departure.withdrawal(job):
                await self._make_offers(request)
        except TimeoutError:
            if not job.withdrawn:
                raise
            self._strategy.refuse_as_leaving(progress)
        finally:
            self._report_wait(job, progress)
            if progress.answered:
                self._hedges.answered(
                    job.route, self._clock.monotonic() - progress.started_at
                )
            for task in request.in_flight:
                task.cancel()

    async def _make_offers(self, request: _Request) -> None:
        progress = request.progress
        while not progress.answered:
            if not request.in_flight or progress.hedge_pending:
                step = self._next_step(request)
                self._start_offers(request, step)
                if not request.in_flight:
                    if not step.pause_s:
                        return
                    await self._clock.sleep(step.pause_s)
                    continue
            await self._wait_for_offers(request)

    def _next_step(self, request: _Request) -> strategy.Step:
        job = request.job
        progress = request.progress
        candidates = self._fleet.targets(job.service)
        if request.in_flight:
            return self._strategy.hedge_step(progress, candidates)
        now = self._clock.monotonic()
        job.may_repeat = (
            job.idempotent
            and len(progress.may_have_run) + 1 < job.max_runs
            and request.budget.allows(now, rerun=True)
        )
        return self._strategy.next_step(job, progress, candidates, now)

    def _start_offers(self, request: _Request, step: strategy.Step) -> None:
        progress = request.progress
        race = Race() if step.wait_s else None
        for choice in step.choices:
            request.job.repeats = progress.hedge_pending or bool(
                progress.may_have_run
            )
            progress.hedge_pending = False
            progress.offer_count += 1
            progress.tried.add(choice.target.worker)
            task = asyncio.get_running_loop().create_task(
                self._offer(request, choice, step.wait_s, race)
            )
            request.in_flight[task] = choice
            if race is not None:
                race.tasks.add(task)

    async def _offer(
        self,
        request: _Request,
        choice: picking.Choice,
        wait_s: float,
        race: Race | None,
    ) -> attempt.ForwardResult:
        failing_probability = self._picker.failing_probability(choice.target)
        started_at = self._clock.monotonic()

        def claim() -> bool:
            request.progress.slot_granted(self._clock.monotonic())
            return race.claim()

        if race is None:
            request.progress.slot_granted(started_at)
        result = await self._offer_sender.send(
            request.job, choice, wait_s, claim if race else None
        )
        request.progress.offer_records.append(
            requestprogress.OfferRecord(
                choice.target.worker,
                int(result.code),
                result.reply.status if result.reply else 0,
                round(100 * failing_probability),
                round(1000 * (self._clock.monotonic() - started_at)),
            )
        )
        return result

    async def _wait_for_offers(self, request: _Request) -> None:
        """Waits until an offer ends or a hedge is due."""
        progress = request.progress
        regular_s = self._strategy.hedge_delay_s(
            request.job, progress, len(request.in_flight)
        )
        early_s = None
        if regular_s is not None and not progress.early_hedge_decided:
            early_s = self._early_hedge_delay_s(request, regular_s)
        done, pending = await asyncio.wait(
            request.in_flight,
            timeout=regular_s if early_s is None else early_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        now = self._clock.monotonic()
        if not done:
            self._decide_hedge(request, early_s is not None, now)
            return
        for task in done:
            choice = request.in_flight.pop(task)
            if not task.cancelled() and strategy.is_shortage(task.result()):
                self._hedges.lacked_slot(request.job.service, now)
            if task.cancelled():
                # Another offer of the race got a slot first.
                continue
            self._strategy.record(
                request.job,
                progress,
                choice,
                task.result(),
                request.budget,
                bool(pending),
                now,
            )

    def _early_hedge_delay_s(
        self, request: _Request, regular_s: float
    ) -> float | None:
        """Returns the time until a request counts as slow on its route, in s.

        Returns:
            The time; None if that isn't before the regular hedge.
        """
        job = request.job
        slow_s = self._hedges.delay_s(job.route, job.objective_s)
        if slow_s is None:
            return None
        passed_s = self._clock.monotonic() - request.progress.started_at
        early_s = max(0.0, slow_s - passed_s)
        return early_s if early_s < regular_s else None

    def _decide_hedge(
        self, request: _Request, is_early: bool, now: float
    ) -> None:
        progress = request.progress
        if is_early:
            progress.early_hedge_decided = True
            if not self._hedges.take(request.job.service, now):
                return
            self._metrics.event("hedged_early")
        progress.hedge_decided = True
        progress.hedge_pending = request.budget.withdraw(now, rerun=True)

    def _report_wait(
        self, job: attempt.Job, progress: requestprogress.Progress
    ) -> None:
        """Reports how long a call has waited for a slot."""
        if not job.nested:
            return
        limit_s = strategy.longest_wait_s(job)
        wait_s = limit_s
        if progress.answered or progress.may_have_run:
            # Without a queue, the time went into refusals for other reasons than
            # the lack of slots.
            wait_s = progress.slot_wait_s if progress.waited else 0.0
        elif not strategy.lacked_slot(progress):
            return
        self._calls.report_wait(
            job.service, wait_s, limit_s, self._clock.monotonic()
        )
