"""Choice of the target for a request."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.health import worker

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from sardinedoor_node.membership import table
    from sardinedoor_node.picking import views


@dataclasses.dataclass(slots=True)
class Choice:
    """A picked target, and as what the request is offered to it."""

    target: table.Target
    rotation: worker.Rotation = worker.Rotation.IN


class Picker(abc.ABC):
    """Picks targets and learns from what became of the requests."""

    @abc.abstractmethod
    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> Choice | None:
        """Picks a target.

        Args:
            candidates: Live, non-leaving targets of the service.
            tried: Names of workers not to pick again.
            idempotent: Whether the request may serve as a trial.

        Returns:
            The choice, or None if no target is left.
        """

    def sick(self, target: table.Target) -> float:
        """Returns the odds that a target is sick, as far as known here."""
        del target
        return 0.0

    @abc.abstractmethod
    def started(self, target: table.Target) -> float:
        """Counts a request sent; returns a token for `finished`."""

    @abc.abstractmethod
    def finished(
        self, target: table.Target, token: float, feedback: views.Feedback
    ) -> None:
        """Counts a request that ended.

        Args:
            target: Its target.
            token: What `started` returned.
            feedback: What was learned from it.
        """
