"""Takes one request from owner to owner until an outcome is final."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_node.limits import windows
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import directory
    from sardinedoor_node import metrics
    from sardinedoor_node import picking
    from sardinedoor_node.ingress import offers
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Bounds the offers of one request, each of a round trip or a refused send.
MAX_OFFERS = 12
# Share of the objective in which a request waits for a slot anywhere; held
# longer, a refusal costs its caller the time to go elsewhere.
WAIT_SHARE = 0.3
# Share of the objective after which an idempotent request that can be tried
# again is taken from a silent target.
CUT_SHARE = 0.6
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
    """The offers of one request so far."""

    began: float
    tried: set[str] = dataclasses.field(default_factory=set)
    ran: set[str] = dataclasses.field(default_factory=set)
    steps: list[Step] = dataclasses.field(default_factory=list)
    last: attempt.Forwarded = dataclasses.field(
        default_factory=lambda: attempt.Forwarded(codes.Code.NO_TARGET)
    )
    failed: attempt.Forwarded | None = None
    busy: bool = False

    def outcome(self) -> attempt.Forwarded:
        """Returns the outcome of all offers together.

        Not run only if each was not run; an answer goes before silence.
        """
        last = self.last
        if codes.outcome(last.code) is codes.Outcome.ANSWERED:
            return last
        return self.failed or last


class Rerouter:
    """Runs exchanges with owners, within attempts and the retry budget."""

    def __init__(
        self,
        fleet: directory.Directory,
        picker: picking.Picker,
        made: offers.Offers,
        rules: windows.RetryRules,
        nodes: Callable[[], int],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Remembers its parts.

        Args:
            fleet: Lists targets.
            picker: Picks among them.
            made: Makes the offers.
            rules: Bounds further attempts.
            nodes: Tells how many nodes share the burst of the rules.
            counters: Where further attempts are counted by reason.
            time: The clock.
        """
        self._fleet = fleet
        self._picker = picker
        self._offers = made
        self._rules = rules
        self._nodes = nodes
        self._metrics = counters
        self._clock = time
        self._budgets: dict[str, windows.WindowedBudget] = {}

    async def forward(self, job: attempt.Job, course: Course) -> None:
        """Offers a request until one outcome is final.

        Args:
            job: The request.
            course: Takes what came of it.
        """
        budget = self._budget(job.service)
        budget.requested(self._clock.monotonic())
        for _ in range(MAX_OFFERS):
            now = self._clock.monotonic()
            if now >= job.deadline:
                course.last = attempt.Forwarded(codes.Code.DEADLINE_EXPIRED)
                return
            choice = self._choose(job, course, budget, now)
            if choice is None:
                if not await self._wait(job, course):
                    return
                continue
            await self._offer(job, choice, course, budget)
            if not self._goes_on(job, course, budget):
                return
            self._metrics.retry(course.last.code.name.lower())

    def _budget(self, service: str) -> windows.WindowedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = windows.WindowedBudget(self._rules, self._nodes)
            self._budgets[service] = budget
        return budget

    def _choose(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
        now: float,
    ) -> picking.Choice | None:
        candidates = self._fleet.targets(job.service)
        may_repeat = job.idempotent and job.max_runs > 1 and budget.allows(now)
        return self._picker.pick(
            candidates, course.tried | course.ran, may_repeat
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
        self,
        job: attempt.Job,
        choice: picking.Choice,
        course: Course,
        budget: windows.WindowedBudget,
    ) -> None:
        target = choice.target
        sick = self._picker.sick(target)
        began = self._clock.monotonic()
        cut_s = self._cut_s(job, course, budget, began)
        try:
            async with asyncio.timeout(cut_s):
                outcome = await self._offers.make(job, choice)
        except TimeoutError:
            outcome = attempt.Forwarded(
                codes.Code.TARGET_TIMEOUT, target.worker
            )
        took_s = self._clock.monotonic() - began
        status = outcome.reply.status if outcome.reply else 0
        course.steps.append(
            Step(
                target.worker,
                int(outcome.code),
                status,
                round(100 * sick),
                round(1000 * took_s),
            )
        )
        course.tried.add(target.worker)
        course.last = outcome
        course.busy = course.busy or outcome.code in _BUSY

    def _cut_s(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
        now: float,
    ) -> float | None:
        """Returns when to take a request back, in s; None for never."""
        if not job.idempotent or len(course.ran) + 1 >= job.max_runs:
            return None
        if not budget.allows(now):
            return None
        left_s = job.deadline - now
        cut_s = CUT_SHARE * job.objective_s
        return cut_s if cut_s < left_s else None

    def _goes_on(
        self,
        job: attempt.Job,
        course: Course,
        budget: windows.WindowedBudget,
    ) -> bool:
        last = course.last
        code = last.code
        if code in _FREE or code in _BUSY:
            return True
        if code in _FINAL:
            return False
        now = self._clock.monotonic()
        if codes.outcome(code) is codes.Outcome.NOT_RUN:
            if code not in _ARRIVED or budget.spend(now):
                return True
            self._metrics.event("retry_budget_spent")
            return False
        course.ran.add(last.worker)
        failed = last.reply is None or last.reply.status >= _SERVER_ERROR
        if not failed:
            return False
        if course.failed is None or last.reply is not None:
            course.failed = last
        if not job.idempotent or len(course.ran) >= job.max_runs:
            return False
        if budget.spend(now):
            return True
        self._metrics.event("retry_budget_spent")
        return False
