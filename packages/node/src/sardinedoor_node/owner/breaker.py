"""Circuit breaker that opens on the probability that the worker is failing."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.health import markovfilter
from sardinedoor_node.health import refusalshare
from sardinedoor_node.health import worker
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_node.admission import calltree
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)

# Below even odds an idempotent request is served here: the owner that it would
# be rerouted to may be failing as well.
OPEN_PROBABILITY = 0.5
# A request that isn't idempotent can't be repeated if it fails, so it is
# admitted only on recent evidence that the worker is healthy.
MAX_UNREPEATABLE_PROBABILITY = 0.2
# A nested request can be repeated, but the run that made it is lost if both fail. It is
# admitted unless there is evidence against the worker: this lies just above the
# probability of a worker of which nothing is known.
MAX_NESTED_PROBABILITY = 0.35
# A worker that refuses more of the requests sent to it gets no more of them than
# trials, and requests that no other worker takes.
MAX_REFUSAL_SHARE = 0.3
# A worker of which nothing is known refuses this many requests that can't be repeated. The
# next one is admitted: they would not come if better workers had room. An ingress turns
# to last resorts after as many refusals.
MAX_UNPROVEN_REFUSALS = 6
# While the breaker is open, idempotent trial requests are admitted at this
# interval. A recovered target is recognised after a few of them.
TRIAL_INTERVAL_S = 1.3
# Delay of the next trial after a successful one.
TRIAL_CONFIRM_S = 0.1
# A request that takes longer than this multiple of the mean latency, and
# longer than the minimum, counts as a partial failure, since a hanging request
# times out only much later.
_LATE_FACTOR = 4.0
_LATE_MIN_S = 0.9
_LATE_WEIGHT = 0.5
_LATENCY_EWMA_WEIGHT = 0.1
_SERVER_ERROR = 500
# These codes are no evidence of the health of the target.
_NEUTRAL_CODES = frozenset(
    {
        codes.Code.DEADLINE_EXPIRED,
        codes.Code.TARGET_REPLACED,
        codes.Code.CALLER_LEFT,
    }
)


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A request in flight.

    Attributes:
        started: When it began, monotonic, in s.
        late_timer: Timer of the partial failure; None once it has fired.
    """

    started: float
    late_timer: asyncio.TimerHandle | None = None


class CircuitBreaker(owner.Gate):
    """Refuses offers while the worker is probably in a period of failure.

    While it is open, it admits offers to workers that the floor keeps in
    rotation, and one idempotent request as a trial per interval.
    """

    def __init__(
        self,
        failure_model: markovfilter.FailureModel,
        time: clock.Clock,
        calls: calltree.CallTree | None = None,
    ):
        """Starts at the prior probability of failure.

        Args:
            failure_model: Rates at which targets begin to fail and recover.
            time: The clock.
            calls: Calls that the worker makes; None if they aren't known.
        """
        self._calls = calls
        self._clock = time
        self._filter = markovfilter.FailureFilter(
            failure_model, time.monotonic()
        )
        self._refusals = refusalshare.RefusalShare(time.monotonic())
        self._mean_latency_s = 0.0
        self._next_trial_at = 0.0
        self._running = 0
        self._unproven_refusals = 0
        self._is_open = False

    def admits(self, offer: wire.Offer) -> bool:
        """See base class."""
        now = self._clock.monotonic()
        failing_probability = self._filter.failing_probability(now)
        refusal_share = self._refusals.share(now)
        limit = MAX_UNREPEATABLE_PROBABILITY
        if offer.may_repeat:
            limit = OPEN_PROBABILITY
            if offer.nested:
                limit = MAX_NESTED_PROBABILITY
        if failing_probability < limit and refusal_share < MAX_REFUSAL_SHARE:
            return True
        rotation = worker.Rotation(offer.rotation)
        if rotation is worker.Rotation.FLOOR:
            return True
        if not offer.may_repeat:
            return self._admits_unproven()
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return True

    def _admits_unproven(self) -> bool:
        """Decides on a request that can't be repeated, without evidence."""
        if not self.is_unproven() or self._running or self.is_limited:
            return False
        self._unproven_refusals += 1
        return self._unproven_refusals > MAX_UNPROVEN_REFUSALS

    def is_unproven(self) -> bool:
        """Returns whether there is no recent evidence of the worker's health.

        Such a worker gets no request that can't be repeated.
        """
        failing_probability = self._filter.failing_probability(
            self._clock.monotonic()
        )
        return (
            MAX_UNREPEATABLE_PROBABILITY
            <= failing_probability
            < MAX_NESTED_PROBABILITY
        )

    def annotate_load(self, name: str, load: wire.Load) -> None:
        """See base class."""
        now = self._clock.monotonic()
        failing_probability = self._filter.failing_probability(now)
        refusal_share = self._refusals.share(now)
        served_share = (1 - failing_probability) * (1 - refusal_share)
        load.ejected = (
            failing_probability >= OPEN_PROBABILITY
            or refusal_share >= MAX_REFUSAL_SHARE
        )
        load.weight_percent = max(1, round(100 * served_share))
        if load.ejected:
            load.trial_ms = max(0, int(1000 * (self._next_trial_at - now)))

    def begin_run(self) -> _Run:
        """Records the start of a request."""
        self._running += 1
        self._unproven_refusals = 0
        run = _Run(self._clock.monotonic())
        late_s = max(_LATE_MIN_S, _LATE_FACTOR * self._mean_latency_s)
        loop = asyncio.get_running_loop()
        run.late_timer = loop.call_later(late_s, self._on_late, run)
        return run

    def _on_late(self, run: _Run) -> None:
        run.late_timer = None
        self._filter.record_failure(self._clock.monotonic(), _LATE_WEIGHT)
        self._log_transition("late")

    def end_run(self, run: _Run, reply: target.TargetReply | None) -> None:
        """Records the end of a request.

        Args:
            run: The value that `begin_run` returned.
            reply: The reply; None if the request was cancelled.
        """
        self._running -= 1
        now = self._clock.monotonic()
        was_late = run.late_timer is None
        if run.late_timer is not None:
            run.late_timer.cancel()
        if (
            reply is None
            or reply.code in _NEUTRAL_CODES
            or reply.may_be_stale_connection
        ):
            return
        refused = reply.code == codes.Code.TARGET_REFUSED
        self._refusals.record(refused, now)
        if refused:
            return
        if reply.code == codes.Code.ANSWERED and reply.status < _SERVER_ERROR:
            latency_s = now - run.started
            self._mean_latency_s += _LATENCY_EWMA_WEIGHT * (
                latency_s - self._mean_latency_s
            )
            if not was_late:
                self._filter.record_success(now)
                self._next_trial_at = min(
                    self._next_trial_at, now + TRIAL_CONFIRM_S
                )
        elif not self._is_explained(reply, now):
            self._filter.record_failure(now)
        self._log_transition(reply.code.name.lower())

    def _is_explained(self, reply: target.TargetReply, now: float) -> bool:
        """Returns whether the run failed since a call that it made failed."""
        return (
            reply.code == codes.Code.ANSWERED
            and self._calls is not None
            and self._calls.take_failed_call(now)
        )

    def _log_transition(self, reason: str) -> None:
        failing_probability = self._filter.failing_probability(
            self._clock.monotonic()
        )
        if (failing_probability >= OPEN_PROBABILITY) != self._is_open:
            self._is_open = failing_probability >= OPEN_PROBABILITY
            logger.info(
                "worker gated" if self._is_open else "worker readmitted",
                extra={"sick": round(failing_probability, 3), "reason": reason},
            )


class BreakerClient(owner.DelegatingClient):
    """Reports the outcome of each request to the circuit breaker."""

    def __init__(self, inner: owner.Client, breaker: CircuitBreaker):
        """Wraps a client.

        Args:
            inner: The client that sends the requests.
            breaker: Circuit breaker of the worker.
        """
        super().__init__(inner)
        self._breaker = breaker

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        run = self._breaker.begin_run()
        reply = None
        try:
            reply = await self._inner.run(request, idempotent, remaining_s)
        finally:
            self._breaker.end_run(run, reply)
        return reply
