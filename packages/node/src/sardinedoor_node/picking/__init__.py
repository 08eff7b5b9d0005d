"""Load balancing: the choice of the target for a request."""

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
    """A picked target, and why the request is offered to it."""

    target: table.Target
    rotation: worker.Rotation = worker.Rotation.IN


class Picker(abc.ABC):
    """Picks targets for an ingress and learns from the attempts."""

    @abc.abstractmethod
    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> Choice | None:
        """Picks a target.

        Args:
            candidates: Live targets of the service that are not leaving.
            tried: Names of workers that must not be picked again.
            idempotent: Whether the request may run twice; only then may it be
                sent as a trial.

        Returns:
            The choice, or None if no target is left.
        """

    def pick_queues(
        self,
        candidates: Sequence[table.Target],
        count: int,
        idempotent: bool,
        wait_s: float,
    ) -> list[Choice]:
        """Picks the targets at whose owners a request waits for a slot.

        Args:
            candidates: Targets whose owners had no free slot.
            count: Largest number of targets.
            idempotent: Whether the request may run twice.
            wait_s: Longest time that the request may wait, in s.

        Returns:
            The targets with the shortest queues, the best first; none whose
            rate limit admits no request in that time.
        """
        del candidates, count, idempotent, wait_s
        return []

    def pick_last_resort(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
        idempotent: bool = False,
    ) -> Choice | None:
        """Picks a target that is probably failing, once no other is left.

        Args:
            candidates: Live targets of the service that are not leaving.
            tried: Names of workers that must not be picked again.
            idempotent: Whether the request may run twice.

        Returns:
            The least doubtful target, or None if a refusal is better.
        """
        del candidates, tried, idempotent
        return None

    def failing_probability(self, target: table.Target) -> float:
        """Returns the probability that a target is failing; 0 if unknown."""
        del target
        return 0.0

    def rate_limit(self, target: table.Target) -> views.RateLimit | None:
        """Returns the limit that a target has announced, None if unknown."""
        del target
        return None

    @abc.abstractmethod
    def request_started(self, target: table.Target) -> float:
        """Counts a request that is sent to a target.

        Args:
            target: The target.

        Returns:
            A token to be passed to `request_finished`.
        """

    @abc.abstractmethod
    def request_finished(
        self, target: table.Target, token: float, feedback: views.Feedback
    ) -> None:
        """Counts the end of a request.

        Args:
            target: The target.
            token: The result of `request_started`.
            feedback: What the attempt showed about the target and its owner.
        """
