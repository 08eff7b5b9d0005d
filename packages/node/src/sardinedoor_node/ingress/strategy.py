"""Decides to which owners a request is offered, one step at a time.

It answers a load at which most slots are busy and about a third of the targets
fail, so that few owners have a free slot, and an ingress that meets each of
them rarely doesn't know which ones. The steps of a request are:

1. A few owners are asked in turn for a slot that is free now.
2. If those have none, the request joins the two shortest of their queues and
   runs where a slot becomes free first. Owners refuse it at once if their queue
   is too long, so a request that can't be served doesn't wait.
3. A target that is probably failing is tried last, if the request would be
   refused otherwise and its chance is better than that.

Nothing here sends messages or waits; `failover` carries out the steps.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sardinedoor_node import metrics
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import departure
    from sardinedoor_node.ingress import requestprogress
    from sardinedoor_node.limits import retrywindow
    from sardinedoor_node.membership import targets

# Largest number of offers for one request, including those that aren't charged
# to the retry budget, since each costs a round trip or a failed send.
MAX_OFFERS = 12
# Owners without a free slot that are asked before the request joins a queue.
MAX_BUSY_OWNERS = 4
# Owners that refuse for the health of their target, before the request is
# offered to a doubtful target. Their refusals tell how doubtful each one is.
MAX_EJECTED_TARGETS = 6
# Owners in whose queues a request waits at the same time.
QUEUES_PER_REQUEST = 2
# Share of the latency objective during which a request may wait for a slot. A
# run that begins later would probably end after the objective.
SLOT_WAIT_SHARE = 0.45
# Share of the time until its deadline during which a nested request may wait for a
# slot. The run that made it can wait for longer than the call's own objective.
NESTED_WAIT_SHARE = 0.7
# Share of the latency objective during which a request is offered again to an
# owner whose link wasn't open.
LINK_WAIT_SHARE = 0.3
# Share of the latency objective after which an idempotent request without a
# reply is also offered to a second target (hedging).
HEDGE_SHARE = 0.6
LINK_RETRY_INTERVAL_S = 0.03
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
    {
        codes.Code.QUEUE_FULL,
        codes.Code.ORGANISATION_OVER_SHARE,
        codes.Code.TARGET_LIMITED,
    }
)
# The target or its node is leaving, so the request can't wait there any more.
_LEAVING_REFUSALS = frozenset(
    {
        codes.Code.NODE_LEAVING,
        codes.Code.NOT_OWNER,
        codes.Code.WORKER_DRAINED,
        codes.Code.TARGET_LEAVING,
    }
)
# The request is not offered to other owners after these codes.
_FINAL_REFUSALS = frozenset(
    {
        codes.Code.QUARANTINED,
        codes.Code.DEADLINE_EXPIRED,
        codes.Code.CALLED_SERVICE_FULL,
    }
)


@dataclasses.dataclass(slots=True)
class Step:
    """What to do next for a request; without any field, it is finished.

    Attributes:
        choices: Targets to offer it to. Of several, the first whose owner
            grants a slot gets it.
        wait_s: Longest time to wait in the owners' queues, in s.
        pause_s: Time to wait before the next step if there are no choices, in
            s; 0 if the request is finished.
    """

    choices: list[picking.Choice] = dataclasses.field(default_factory=list)
    wait_s: float = 0.0
    pause_s: float = 0.0


class OfferStrategy:
    """Chooses the steps of requests, and evaluates the results of offers."""

    def __init__(
        self,
        picker: picking.Picker,
        counters: metrics.Metrics,
        own_departure: departure.Departure,
    ):
        """Stores the collaborators.

        Args:
            picker: Picks targets.
            counters: Counts the results of offers by result code.
            own_departure: Tells when this node ends.
        """
        self._picker = picker
        self._metrics = counters
        self._departure = own_departure

    def next_step(
        self,
        job: attempt.Job,
        progress: requestprogress.Progress,
        candidates: Sequence[targets.Target],
        now: float,
    ) -> Step:
        """Decides on the next step of a request without offers in flight.

        Args:
            job: The request.
            progress: Offers made for it so far.
            candidates: Live targets of its service.
            now: Monotonic time, in s.
        """
        if progress.stopped or progress.offer_count >= MAX_OFFERS:
            return Step()
        if now > self._departure.latest_start(job):
            self.refuse_as_leaving(progress)
            return Step()
        limit_s = max(job.objective_s, longest_wait_s(job))
        is_late = 0 < limit_s < now - progress.started_at
        if is_late and not progress.may_have_run:
            # No owner has accepted it in this time, so it is refused while
            # its caller can still try elsewhere.
            return Step()
        if (
            len(progress.busy) < MAX_BUSY_OWNERS
            and progress.ejected_count < MAX_EJECTED_TARGETS
        ):
            choice = self._picker.pick(
                candidates, progress.tried, job.may_repeat
            )
            if choice is not None:
                return Step([choice])
        if progress.busy and not progress.waited:
            step = self._join_queues(job, progress, now)
            if step.choices:
                progress.waited = True
                return step
        if progress.link_was_down:
            pause = self._pause_for_link(job, progress, now)
            if pause.pause_s:
                return pause
        choice = self._picker.pick_last_resort(
            candidates,
            progress.may_have_run | progress.last_resorts | set(progress.busy),
            job.idempotent,
        )
        if choice is None:
            return Step()
        progress.last_resorts.add(choice.target.worker)
        return Step([choice])

    def refuse_as_leaving(self, progress: requestprogress.Progress) -> None:
        """Records that this node ends before a worker could run a request.

        Its caller is told to return when it uses another node.

        Args:
            progress: Updated with the refusal.
        """
        progress.last_result = attempt.ForwardResult(codes.Code.NODE_LEAVING)
        free_at = progress.free_at if math.isfinite(progress.free_at) else 0.0
        progress.free_at = max(free_at, self._departure.unused_at)

    def hedge_step(
        self,
        progress: requestprogress.Progress,
        candidates: Sequence[targets.Target],
    ) -> Step:
        """Decides where to offer a request that has an offer in flight."""
        if progress.offer_count >= MAX_OFFERS:
            return Step()
        choice = self._picker.pick(candidates, progress.tried, True)
        return Step([choice] if choice is not None else [])

    def hedge_delay_s(
        self,
        job: attempt.Job,
        progress: requestprogress.Progress,
        in_flight: int,
    ) -> float | None:
        """Returns the time until a hedge is due, in s; None for no hedge."""
        if not job.idempotent or progress.hedge_decided or progress.stopped:
            return None
        if len(progress.may_have_run) + in_flight >= job.max_runs:
            return None
        return HEDGE_SHARE * job.objective_s

    def _join_queues(
        self,
        job: attempt.Job,
        progress: requestprogress.Progress,
        now: float,
    ) -> Step:
        latest = progress.started_at + longest_wait_s(job)
        latest = min(latest, job.deadline, self._departure.latest_start(job))
        wait_s = latest - now
        if wait_s <= 0:
            return Step()
        busy = [
            target
            for name, target in progress.busy.items()
            if name not in progress.may_have_run
        ]
        choices = self._picker.pick_queues(
            busy, QUEUES_PER_REQUEST, job.may_repeat, wait_s
        )
        return Step(choices, wait_s)

    def _pause_for_link(
        self,
        job: attempt.Job,
        progress: requestprogress.Progress,
        now: float,
    ) -> Step:
        latest = progress.started_at + LINK_WAIT_SHARE * job.objective_s
        if now + LINK_RETRY_INTERVAL_S > latest:
            return Step()
        progress.link_was_down = False
        progress.tried = progress.may_have_run | set(progress.busy)
        return Step(pause_s=LINK_RETRY_INTERVAL_S)

    def record(
        self,
        job: attempt.Job,
        progress: requestprogress.Progress,
        choice: picking.Choice,
        result: attempt.ForwardResult,
        budget: retrywindow.WindowedBudget,
        others_in_flight: bool,
        now: float,
    ) -> None:
        """Records the result of an offer and whether more may follow.

        Args:
            job: The request.
            progress: Updated with the result.
            choice: The target of the offer.
            result: The result of the offer.
            budget: Retry budget of the service; charged for another attempt.
            others_in_flight: Whether other offers of the request are in
                flight.
            now: Monotonic time, in s.
        """
        code = result.code
        self._metrics.retry(code.name.lower())
        if progress.answered:
            # Another offer that ended in the same step was answered.
            return
        progress.last_result = result
        if code is codes.Code.LINK_DOWN:
            progress.link_was_down = True
        if code is codes.Code.TARGET_EJECTED:
            progress.ejected_count += 1
        if code in _NO_SLOT_REFUSALS:
            progress.busy[choice.target.worker] = choice.target
            progress.free_at = min(progress.free_at, now + result.wait_s)
            job.expected_run_s = max(job.expected_run_s, result.run_s)
        if code in _LEAVING_REFUSALS:
            progress.busy.pop(choice.target.worker, None)
            progress.waited = False
        if code in _FREE_REFUSALS or code in _NO_SLOT_REFUSALS:
            return
        if code is codes.Code.CALLED_SERVICE_FULL:
            progress.free_at = now + result.wait_s
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


def is_shortage(result: attempt.ForwardResult) -> bool:
    """Returns whether an offer was refused for lack of a slot."""
    return result.code in _NO_SLOT_REFUSALS


def lacked_slot(progress: requestprogress.Progress) -> bool:
    """Returns whether a request was refused in the end for lack of a slot."""
    return is_shortage(progress.last_result)


def longest_wait_s(job: attempt.Job) -> float:
    """Returns how long a request may wait for a slot after its arrival, in s."""
    wait_s = SLOT_WAIT_SHARE * job.objective_s
    if not job.nested:
        return wait_s
    return max(wait_s, NESTED_WAIT_SHARE * (job.deadline - job.started_at))
