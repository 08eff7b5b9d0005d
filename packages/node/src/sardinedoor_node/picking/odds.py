"""Picks by load, distance and the odds that a target is sick."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.picking import counting

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence
    import random

    from sardinedoor_node.health import markovfilter
    from sardinedoor_node.membership import table
    from sardinedoor_node.picking import views
    from sardinedoor_node.util import clock

# A view this much worse than even odds isn't offered other than trials.
_SICK_LIMIT = 0.5
# Costs of a choice in units of one full set of busy slots.
_DOUBT_COST = 3.0
_DOUBT_COST_IDEMPOTENT = 0.6
_FAR_COST = 0.7
# An owner's word on its load says little after this many seconds.
_LOAD_LIFE_S = 1.0
_SAMPLE_NEAR = 4
_SAMPLE_FAR = 2


@dataclasses.dataclass(slots=True)
class _View:
    """One target in the eyes of this ingress; times are monotonic, in s."""

    in_flight: int = 0
    busy: int = 0
    heard_at: float = -math.inf
    sick: float = 0.0
    trial_at: float = 0.0


class OddsPicker(counting.CountingPicker[_View]):
    """Compares a few targets, near ones first."""

    def __init__(
        self,
        rng: random.Random,
        time: clock.Clock,
        place: counting.Place,
        rates: markovfilter.FailureModel,
    ):
        """Starts knowing nothing of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            place: Where the ingress is.
            rates: How targets fall sick and recover.
        """
        super().__init__(rng, time, place)
        self._rates = rates

    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> picking.Choice | None:
        """See base class."""
        now = self._clock.monotonic()
        pool = [t for t in candidates if t.worker not in tried]
        reachable = [
            t for t in pool if not self._paths.suspected(t.node, now)
        ] or pool
        if not reachable:
            return None
        gated = [t for t in reachable if self._sick(t, now) >= _SICK_LIMIT]
        if idempotent and not tried:
            trial = self._trial(gated, now)
            if trial is not None:
                return picking.Choice(trial, worker.Rotation.TRIAL)
        if len(gated) == len(reachable):
            best = min(gated, key=lambda t: self._cost(t, idempotent, now))
            return picking.Choice(best, worker.Rotation.FLOOR)
        names = {t.worker for t in gated}
        healthy = [t for t in reachable if t.worker not in names]
        sample = self._sample(healthy)
        return picking.Choice(
            min(sample, key=lambda t: self._cost(t, idempotent, now))
        )

    def sick(self, target: table.Target) -> float:
        """Returns the odds that a target is sick, as far as known here."""
        return self._sick(target, self._clock.monotonic())

    def _trial(
        self, gated: list[table.Target], now: float
    ) -> table.Target | None:
        due = [t for t in gated if self._view(t.worker).trial_at <= now]
        near = [t for t in due if self._is_near(t)]
        return self._rng.choice(near or due) if due else None

    def _sample(self, targets: list[table.Target]) -> list[table.Target]:
        near = [t for t in targets if self._is_near(t)]
        far = [t for t in targets if not self._is_near(t)]
        found = self._rng.sample(near, min(_SAMPLE_NEAR, len(near)))
        return found + self._rng.sample(far, min(_SAMPLE_FAR, len(far)))

    def _cost(
        self, target: table.Target, idempotent: bool, now: float
    ) -> float:
        view = self._view(target.worker)
        busy = view.in_flight
        if now - view.heard_at < _LOAD_LIFE_S:
            busy = max(busy, view.busy)
        doubt = _DOUBT_COST_IDEMPOTENT if idempotent else _DOUBT_COST
        cost = busy / target.slots + doubt * self._sick(target, now)
        if not self._is_near(target):
            cost += _FAR_COST
        return cost

    def _sick(self, target: table.Target, now: float) -> float:
        view = self._view(target.worker)
        rates = self._rates
        age_s = now - view.heard_at
        kept = math.exp(-age_s / rates.relaxation_s)
        return rates.failing_share + (view.sick - rates.failing_share) * kept

    def _new_view(self) -> _View:
        return _View()

    def _is_unreachable(self, feedback: views.Feedback) -> bool:
        return feedback.refused or feedback.silent

    def _take(self, view: _View, report: views.Report, now: float) -> None:
        view.heard_at = now
        view.busy = report.busy
        view.sick = 1 - report.weight
        view.trial_at = now + report.trial_in_s
