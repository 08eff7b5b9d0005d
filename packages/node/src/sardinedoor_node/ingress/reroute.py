"""Takes one request from owner to owner until an outcome is final."""

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
    from sardinedoor_node.limits import windows
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Bounds the offers of one request, each of a round trip or a refused send.
MAX_OFFERS = 12
# Share of the objective in which a request waits for a slot anywhere; held
# longer, a refusal costs its caller the time to go elsewhere.
WAIT_SHARE = 0.3
# Share of the objective after which an idempotent request is offered to a
# second target besides a silent one.
HEDGE_SHARE = 0.6
_WAIT_STEP_S = 0.03
_SERVER_ERROR = 500
# These took nobody's slot and say nothing of other owners.
_FREE = frozenset(
    {
        codes.Code.LINK_DOWN,
        codes.Code.TARGET_EJECTED,
        codes.Code.NODE_LEAVING,
        codes.Code.NOT_OWNER,
        codes.Code.WORKER_DRAINED,
    }
)
# A worker got these and didn't run them; it counts as an arrival.
_ARRIVED = frozenset({codes.Code.TARGET_REFUSED, codes.Code.TARGET_REPLACED})
_BUSY = frozenset({codes.Code.QUEUE_FULL, codes.Code.ORGANISATION_OVER_SHARE})
_FINAL = frozenset({codes.Code.QUARANTINED, codes.Code.DEADLINE_EXPIRED})


@dataclasses.dataclass(slots=True)
class Step:
    """One offer of a request, for the log.

    Attributes:
        worker: Who was offered it.
        code: What came of it.
        status: Status of the worker's answer, 0 without one.
        sick: Odds by which it was picked, in percent.
        took_ms: How long it took, in ms.
    """

    worker: str
    code: int
    status: int
    sick: int
    took_ms: int


@dataclasses.dataclass(slots=True)
class Course:
    """The offers of one request so far.

    Attributes:
        began: When it arrived, monotonic, in s.
        tried: Workers that were offered it.
        ran: Those that may have run it.
        steps: What came of each offer.
        last: Outcome of the newest offer that ended.
        failed: The failure to answer with, if nothing better comes.
        busy: Whether an owner had no slot.
        offers: Offers made.
        served: Whether a worker answered well.
        final: Whether no more offers are made.
        hedged: Whether a second offer was due while one ran.
        hedging: Whether that offer is still to be made.
    """

    began: float
    tried: set[str] = dataclasses.field(default_factory=set)
    ran: set[str] = dataclasses.field(default_factory=set)
    steps: list[Step] = dataclasses.field(default_factory=list)
    last: attempt.Forwarded = dataclasses.field(
        default_factory=lambda: attempt.Forwarded(codes.Code.NO_TARGET)
    )
    failed: attempt.Forwarded | None = None
    busy: bool = False
    offers: int = 0
    served: bool = False
    final: bool = False
    hedged: bool = False
    hedging: bool = False

    def outcome(self) -> attempt.Forwarded:
        """Returns the outcome of all offers together.

        Not run only if each was not run; an answer goes before silence.
        """
        last = self.last
        return last if self.served else self.failed or last


class Rerouter:
    """Runs exchanges with owners, within attempts and the retry budget."""

    def __init__(
        self,
        fleet: directory.Directory,
        picker: picking.Picker,
        made: offers.Offers,
        budgets: windows.WindowedBudgets,
        repeated_runs: Callable[[], int],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Remembers its parts.

        Args:
            fleet: Lists targets.
            picker: Picks among them.
            made: Makes the offers.
            budgets: Bound further attempts.
            repeated_runs: Tells how many runs at the node's own worker repeat
                earlier ones.
            counters: Where further attempts are counted by reason.
            time: The clock.
        """
        self._fleet = fleet
        self._picker = picker
        self._offers = made
        self._budgets = budgets
        self._repeated_runs = repeated_runs
        self._metrics = counters
        self._clock = time

    async def forward(self, job: attempt.Job, course: Course) -> None:
        """Offers a request until one outcome is final.

        Args:
            job: The request.
            course: Takes what came of it.
        """
        budget = self._budgets.of(job.service)
        now = self._clock.monotonic()
        if job.nested:
            budget.called(now, self._repeated_runs())
        else:
            budget.requested(now)
        running: set[asyncio.Task] = set()
        try:
            while not course.served:
                if not running or course.hedging:
                    choice = self._choose(job, course, budget)
                    if choice is not None:
                        running.add(self._start(job, choice, course))
                if running:
                    running = await self._next(job, course, budget, running)
                elif course.final or not await self._wait(job, course):
                    return
        finally:
            for task in running:
                task.cancel()

    def _start(
        self, job: attempt.Job, choice: picking.Choice, course: Course
    ) -> asyncio.Task:
        job.repeats = course.hedging or bool(course.ran)
        course.hedging = False
        course.offers += 1
        course.tried.add(choice.target.worker)
        return asyncio.get_running_loop().create_task(
            self._offer(job, choice, course)
        )

    async def _next(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
        running: set[asyncio.Task],
    ) -> set[asyncio.Task]:
        """Waits for an outcome, or until a second offer is due.

        Returns:
            The offers that still run.
        """
        hedge_s = self._hedge_s(job, course, running)
        done, rest = await asyncio.wait(
            running, timeout=hedge_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            course.hedged = True
            course.hedging = budget.spend(self._clock.monotonic(), runs=True)
            return rest
        for task in done:
            self._take(job, course, budget, task.result(), bool(rest))
        return rest

    def _choose(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
    ) -> picking.Choice | None:
        if course.final or course.offers >= MAX_OFFERS:
            return None
        now = self._clock.monotonic()
        may_repeat = (
            job.idempotent
            and job.max_runs > 1
            and budget.allows(now, runs=True)
        )
        return self._picker.pick(
            self._fleet.targets(job.service), course.tried, may_repeat
        )

    async def _wait(self, job: attempt.Job, course: Course) -> bool:
        """Waits for a slot anywhere, if one may come free in time."""
        now = self._clock.monotonic()
        limit = course.began + WAIT_SHARE * job.objective_s
        if not course.busy or course.ran or now + _WAIT_STEP_S > limit:
            return False
        await self._clock.sleep(_WAIT_STEP_S)
        course.tried.clear()
        return True

    async def _offer(
        self, job: attempt.Job, choice: picking.Choice, course: Course
    ) -> attempt.Forwarded:
        sick = self._picker.sick(choice.target)
        began = self._clock.monotonic()
        outcome = await self._offers.make(job, choice)
        course.steps.append(
            Step(
                choice.target.worker,
                int(outcome.code),
                outcome.reply.status if outcome.reply else 0,
                round(100 * sick),
                round(1000 * (self._clock.monotonic() - began)),
            )
        )
        return outcome

    def _hedge_s(
        self, job: attempt.Job, course: Course, running: set[asyncio.Task]
    ) -> float | None:
        """Returns when a second offer is due, in s; None for never."""
        if not job.idempotent or course.hedged or course.final:
            return None
        if len(course.ran) + len(running) >= job.max_runs:
            return None
        return HEDGE_SHARE * job.objective_s

    def _take(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
        outcome: attempt.Forwarded,
        others_run: bool,
    ) -> None:
        """Takes the outcome of one offer and decides whether to go on."""
        course.last = outcome
        code = outcome.code
        course.busy = course.busy or code in _BUSY
        self._metrics.retry(code.name.lower())
        if code in _FREE or code in _BUSY:
            return
        now = self._clock.monotonic()
        if codes.outcome(code) is codes.Outcome.NOT_RUN:
            course.final = code in _FINAL or (
                code in _ARRIVED and not budget.spend(now, runs=False)
            )
            return
        course.ran.add(outcome.worker)
        reply = outcome.reply
        if reply is not None and reply.status < _SERVER_ERROR:
            course.served = True
            return
        if course.failed is None or reply is not None:
            course.failed = outcome
        if others_run:
            return
        repeats = job.idempotent and len(course.ran) < job.max_runs
        course.final = not repeats or not budget.spend(now, runs=True)
        if repeats and course.final:
            self._metrics.event("retry_budget_spent")
