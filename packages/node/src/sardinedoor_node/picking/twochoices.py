"""Power of two choices: the less loaded of two random targets of a subset."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.picking import floor
from sardinedoor_node.picking import ranking
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import views

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

SUBSET_SIZE = 12
LOCAL_SUBSET_SIZE = 6
TRIAL_INTERVAL_S = 0.5
_SPILLOVER_LOAD = 3
_PATH_SEVERITY = 0.5


class TwoChoicesPicker(tracking.TrackingPicker[views.TargetView]):
    """Picks by the power of two choices, weighted and local targets first."""

    def __init__(
        self,
        rng: random.Random,
        time: clock.Clock,
        location: tracking.Location,
        floor_of: Callable[[str], int],
    ):
        """Starts without state of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            location: Location of the ingress.
            floor_of: Returns the floor of a service by its name.
        """
        super().__init__(rng, time, location)
        self._floor_of = floor_of
        self._ranks: dict[str, int] = {}

    def split_rotation(
        self, candidates: Iterable[table.Target]
    ) -> floor.RotationSplit:
        """Splits a service's targets by this ingress's view of their health.

        Args:
            candidates: Live targets of one service that are not leaving.
        """
        now = self._clock.monotonic()
        live = list(candidates)
        severities = {}
        for target in live:
            severity = self._severity(target, now)
            if severity > 0:
                severities[target.worker] = severity
        if not severities:
            return floor.RotationSplit(set(), set())
        min_targets = self._floor_of(live[0].service)
        return floor.split([t.worker for t in live], severities, min_targets)

    def _severity(self, target: table.Target, now: float) -> float:
        """Returns the severity of a target's fault; 0 if it has none."""
        view = self._view(target.worker)
        view.apply_gossip(target.ejected, now)
        severity = float(view.ejections) if view.ejected else 0.0
        if self._paths.is_suspected(target.node, now):
            severity += _PATH_SEVERITY
        return severity

    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> picking.Choice | None:
        """See base class."""
        now = self._clock.monotonic()
        split = self.split_rotation(candidates)
        out = [
            t
            for t in candidates
            if t.worker in split.out and t.worker not in tried
        ]
        if idempotent and not tried:
            trial = self._due_trial(out, now)
            if trial is not None:
                return picking.Choice(trial, worker.Rotation.TRIAL)
        rotation = [t for t in candidates if t.worker not in split.out]
        usable = [t for t in self._subset(rotation) if t.worker not in tried]
        if not usable:
            usable = [t for t in rotation if t.worker not in tried]
        if not usable:
            return None
        target = self._least_loaded(usable, now)
        if target.worker in split.kept_by_floor:
            return picking.Choice(target, worker.Rotation.FLOOR)
        return picking.Choice(target)

    def _due_trial(
        self, out: list[table.Target], now: float
    ) -> table.Target | None:
        """Returns a target whose trial is due, and schedules its next one."""
        for target in out:
            view = self._view(target.worker)
            if self._paths.is_suspected(target.node, now):
                continue
            if now < view.trial_at:
                continue
            view.trial_at = now + TRIAL_INTERVAL_S * self._rng.uniform(1, 2)
            return target
        return None

    def _subset(self, targets: list[table.Target]) -> list[table.Target]:
        return ranking.subset(
            targets, SUBSET_SIZE, LOCAL_SUBSET_SIZE, self._is_local, self._rank
        )

    def _rank(self, node: str) -> int:
        rank = self._ranks.get(node)
        if rank is None:
            rank = ranking.rank(self._location.node, node)
            self._ranks[node] = rank
        return rank

    def _least_loaded(
        self, usable: list[table.Target], now: float
    ) -> table.Target:
        """Picks a local target, or any target if the local pick is loaded."""
        local = [t for t in usable if self._is_local(t)]
        if local and len(local) < len(usable):
            best = self._two_choices(local, now)
            if self._load(best, now) < _SPILLOVER_LOAD:
                return best
        return self._two_choices(usable, now)

    def _two_choices(
        self, targets: list[table.Target], now: float
    ) -> table.Target:
        weights = [self._view(t.worker).weight for t in targets]
        first, second = self._rng.choices(targets, weights, k=2)
        if self._load(second, now) < self._load(first, now):
            return second
        return first

    def _load(self, target: table.Target, now: float) -> int:
        return self._view(target.worker).load(now)

    def _new_view(self) -> views.TargetView:
        return views.TargetView()

    def _apply_report(
        self, view: views.TargetView, report: views.Report, now: float
    ) -> None:
        view.apply_report(report, now)
