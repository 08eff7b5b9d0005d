"""The less loaded of two random targets of a subset."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import picking
from sardinedoor_node.health import worker
from sardinedoor_node.picking import counting
from sardinedoor_node.picking import floor
from sardinedoor_node.picking import ranking
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
SUBSET_NEAR = 6
TRIAL_INTERVAL_S = 0.5
_SPILL_LOAD = 3
_PATH_BADNESS = 0.5


class TwoChoicesPicker(counting.CountingPicker[views.View]):
    """Compares two random targets by requests in flight and load."""

    def __init__(
        self,
        rng: random.Random,
        time: clock.Clock,
        place: counting.Place,
        floor_of: Callable[[str], int],
    ):
        """Starts knowing nothing of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            place: Where the ingress is.
            floor_of: Floor by name of service.
        """
        super().__init__(rng, time, place)
        self._floor_of = floor_of
        self._ranks: dict[str, int] = {}

    def rotation(self, candidates: Iterable[table.Target]) -> floor.Rotation:
        """Splits a service's targets by this node's own view.

        Args:
            candidates: Live, non-leaving targets of one service.
        """
        now = self._clock.monotonic()
        live = list(candidates)
        troubled = {}
        for target in live:
            badness = self._badness(target, now)
            if badness > 0:
                troubled[target.worker] = badness
        if not troubled:
            return floor.Rotation(set(), set())
        least = self._floor_of(live[0].service)
        return floor.split([t.worker for t in live], troubled, least)

    def _badness(self, target: table.Target, now: float) -> float:
        view = self._view(target.worker)
        view.take_gossip(target.ejected, now)
        badness = float(view.ejections) if view.ejected else 0.0
        if self._paths.suspected(target.node, now):
            badness += _PATH_BADNESS
        return badness

    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> picking.Choice | None:
        """See base class."""
        now = self._clock.monotonic()
        split = self.rotation(candidates)
        out = [
            t
            for t in candidates
            if t.worker in split.out and t.worker not in tried
        ]
        if idempotent and not tried:
            trial = self._trial(out, now)
            if trial is not None:
                return picking.Choice(trial, worker.Rotation.TRIAL)
        rotation = [t for t in candidates if t.worker not in split.out]
        usable = [t for t in self._subset(rotation) if t.worker not in tried]
        if not usable:
            usable = [t for t in rotation if t.worker not in tried]
        if not usable:
            return None
        target = self._less_loaded(usable, now)
        if target.worker in split.held:
            return picking.Choice(target, worker.Rotation.FLOOR)
        return picking.Choice(target)

    def _trial(
        self, out: list[table.Target], now: float
    ) -> table.Target | None:
        for target in out:
            view = self._view(target.worker)
            if self._paths.suspected(target.node, now):
                continue
            if now < view.trial_at:
                continue
            view.trial_at = now + TRIAL_INTERVAL_S * self._rng.uniform(1, 2)
            return target
        return None

    def _subset(self, targets: list[table.Target]) -> list[table.Target]:
        return ranking.subset(
            targets, SUBSET_SIZE, SUBSET_NEAR, self._is_near, self._rank
        )

    def _rank(self, node: str) -> int:
        found = self._ranks.get(node)
        if found is None:
            found = ranking.rank(self._place.node, node)
            self._ranks[node] = found
        return found

    def _less_loaded(
        self, usable: list[table.Target], now: float
    ) -> table.Target:
        near = [t for t in usable if self._is_near(t)]
        if near and len(near) < len(usable):
            best = self._two_choices(near, now)
            if self._load(best, now) < _SPILL_LOAD:
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

    def _new_view(self) -> views.View:
        return views.View()

    def _take(self, view: views.View, report: views.Report, now: float) -> None:
        view.take(report, now)
