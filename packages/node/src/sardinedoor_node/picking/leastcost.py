"""Picks the target of least cost: load, failing probability and locality."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.picking import tracking

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    import random

    from sardinedoor_node.health import markovfilter
    from sardinedoor_node.membership import table
    from sardinedoor_node.picking import views
    from sardinedoor_node.util import clock

# Targets at or above this failing probability get only trials while others
# are below it.
_FAILING_THRESHOLD = 0.5
# For requests that aren't idempotent, owners refuse at this probability, which
# a recent report tells in advance.
_UNREPEATABLE_THRESHOLD = 0.2
# Above this failing probability a request that isn't idempotent is refused, as
# not run, rather than tried as a last resort.
_MAX_LAST_RESORT_PROBABILITY = 0.9
# Costs in units of the load of a target whose slots are all busy. A failing
# target costs more for requests that are not idempotent, because these cannot
# be retried once they may have run.
_FAILING_COST = 3.0
_FAILING_COST_IDEMPOTENT = 0.6
_REMOTE_COST = 0.7
# A limited target is used once the others are loaded, and one whose allowance is
# probably used up once they are busy.
_LIMITED_COST = 0.4
_EXHAUSTED_COST = 1.5
# The end of a limit is known only from a response, so a limit that wasn't reported
# again for this long doesn't count.
_RATE_LIMIT_TTL_S = 3.0
# A node's word that nothing is known of its worker's health counts for this long.
_UNPROVEN_TTL_S = 1.0
# The load that an owner reported is outdated after this time.
_LOAD_REPORT_TTL_S = 1.0
_LOCAL_SAMPLE_SIZE = 4
_REMOTE_SAMPLE_SIZE = 2


@dataclasses.dataclass(slots=True)
class _View:
    """State of one target as known to this ingress.

    Attributes:
        in_flight: Requests of this ingress in flight.
        reported_load: Requests in flight and queued at the owner.
        reported_at: Monotonic time of the last report, in s.
        failing_probability: Probability at that time, 0 to 1.
        trial_at: Monotonic time of the next admitted trial, in s.
    """

    in_flight: int = 0
    reported_load: int = 0
    reported_at: float = -math.inf
    failing_probability: float = 0.0
    trial_at: float = 0.0


class LeastCostPicker(tracking.TrackingPicker[_View]):
    """Picks the least cost in a random sample of local and remote targets."""

    def __init__(
        self,
        rng: random.Random,
        time: clock.Clock,
        location: tracking.Location,
        model: markovfilter.FailureModel,
    ):
        """Starts without state of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            location: Location of the ingress.
            model: Markov model of the targets' failures.
        """
        super().__init__(rng, time, location)
        self._model = model
        self._unproven_at: dict[str, float] = {}

    def worker_unproven(self, node: str) -> None:
        """Records that nothing is known of the health of a node's worker.

        A request that may be repeated is sent there next, so that its owner can
        admit others again.

        Args:
            node: Name of the node.
        """
        self._unproven_at[node] = self._clock.monotonic()

    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> picking.Choice | None:
        """See base class."""
        now = self._clock.monotonic()
        untried = [t for t in candidates if t.worker not in tried]
        reachable = [
            t for t in untried if not self._paths.is_suspected(t.node, now)
        ] or untried
        if not reachable:
            return None
        failing = [t for t in reachable if self._is_failing(t, idempotent, now)]
        if idempotent and not tried:
            trial = self._due_trial(failing, now)
            if trial is not None:
                return picking.Choice(trial, worker.Rotation.TRIAL)
        if len(failing) == len(reachable):
            return None
        failing_names = {t.worker for t in failing}
        healthy = [t for t in reachable if t.worker not in failing_names]
        if idempotent and not tried and self._unproven_at:
            unproven = self._take_unproven(healthy, now)
            if unproven is not None:
                return picking.Choice(unproven)
        sample = self._sample(healthy)
        return picking.Choice(
            min(sample, key=lambda t: self._cost(t, idempotent, now))
        )

    def pick_queues(
        self,
        candidates: Sequence[table.Target],
        count: int,
        idempotent: bool,
        wait_s: float,
    ) -> list[picking.Choice]:
        """See base class."""
        now = self._clock.monotonic()
        usable = [
            t
            for t in candidates
            if not self._is_failing(t, idempotent, now)
            and self._is_admitted_by(t, now + wait_s)
        ]
        usable.sort(key=lambda t: self._cost(t, idempotent, now))
        return [picking.Choice(t) for t in usable[:count]]

    def pick_last_resort(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> picking.Choice | None:
        """See base class."""
        now = self._clock.monotonic()
        limit = 1.0 if idempotent else _MAX_LAST_RESORT_PROBABILITY
        doubtful = [
            t
            for t in candidates
            if t.worker not in tried
            and not self._paths.is_suspected(t.node, now)
            and self._failing_probability(t, now) < limit
        ]
        if not doubtful:
            return None
        best = min(doubtful, key=lambda t: self._cost(t, idempotent, now))
        return picking.Choice(best, worker.Rotation.FLOOR)

    def _is_admitted_by(self, target: table.Target, at: float) -> bool:
        """Returns whether its rate limit admits a request by a time."""
        limit = self.rate_limit(target)
        return limit is None or limit.free_at <= at

    def _is_failing(
        self, target: table.Target, idempotent: bool, now: float
    ) -> bool:
        threshold = _FAILING_THRESHOLD
        report_age_s = now - self._view(target.worker).reported_at
        if not idempotent and report_age_s < _LOAD_REPORT_TTL_S:
            threshold = _UNREPEATABLE_THRESHOLD
        return self._failing_probability(target, now) >= threshold

    def failing_probability(self, target: table.Target) -> float:
        """See base class."""
        return self._failing_probability(target, self._clock.monotonic())

    def _due_trial(
        self, failing: list[table.Target], now: float
    ) -> table.Target | None:
        due = [t for t in failing if self._view(t.worker).trial_at <= now]
        local = [t for t in due if self._is_local(t)]
        return self._rng.choice(local or due) if due else None

    def _take_unproven(
        self, targets: list[table.Target], now: float
    ) -> table.Target | None:
        """Returns a target of unknown health, once for each word of its node."""
        for target in targets:
            at = self._unproven_at.pop(target.node, None)
            if at is not None and now - at < _UNPROVEN_TTL_S:
                return target
        return None

    def _sample(self, targets: list[table.Target]) -> list[table.Target]:
        local = [t for t in targets if self._is_local(t)]
        remote = [t for t in targets if not self._is_local(t)]
        sample = self._rng.sample(local, min(_LOCAL_SAMPLE_SIZE, len(local)))
        return sample + self._rng.sample(
            remote, min(_REMOTE_SAMPLE_SIZE, len(remote))
        )

    def _cost(
        self, target: table.Target, idempotent: bool, now: float
    ) -> float:
        view = self._view(target.worker)
        load = view.in_flight
        if now - view.reported_at < _LOAD_REPORT_TTL_S:
            load = max(load, view.reported_load)
        failing_cost = _FAILING_COST_IDEMPOTENT if idempotent else _FAILING_COST
        cost = load / target.slots + failing_cost * self._failing_probability(
            target, now
        )
        if not self._is_local(target):
            cost += _REMOTE_COST
        return cost + self._limit_cost(target, now)

    def _limit_cost(self, target: table.Target, now: float) -> float:
        limit = self.rate_limit(target)
        if limit is None:
            return 0.0
        if now < limit.retry_at:
            return _EXHAUSTED_COST
        is_recent = now - limit.known_since < _RATE_LIMIT_TTL_S
        return _LIMITED_COST if is_recent else 0.0

    def _failing_probability(self, target: table.Target, now: float) -> float:
        """Returns the reported probability, decayed to the stationary one."""
        view = self._view(target.worker)
        model = self._model
        age_s = now - view.reported_at
        decay = math.exp(-age_s / model.relaxation_s)
        return (
            model.failing_share
            + (view.failing_probability - model.failing_share) * decay
        )

    def _new_view(self) -> _View:
        return _View()

    def _is_path_failure(self, feedback: views.Feedback) -> bool:
        return feedback.send_failed or feedback.offer_timed_out

    def _apply_report(
        self, view: _View, report: views.Report, now: float
    ) -> None:
        view.reported_at = now
        view.reported_load = report.load
        view.failing_probability = 1 - report.weight
        view.trial_at = now + report.trial_delay_s
