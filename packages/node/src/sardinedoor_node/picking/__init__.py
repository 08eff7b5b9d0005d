"""Choice of the target for a request."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from sardinedoor_node.membership import table


class Picker(abc.ABC):
    """Picks targets and learns from what became of the requests."""

    @abc.abstractmethod
    def pick(
        self,
        candidates: Sequence[table.Target],
        tried: Collection[str],
    ) -> table.Target | None:
        """Picks a target.

        Args:
            candidates: Live, non-leaving targets of the service.
            tried: Names of workers not to pick again.

        Returns:
            The target, or None if none is left.
        """

    @abc.abstractmethod
    def started(self, worker: str) -> None:
        """Counts a request sent to a worker."""

    @abc.abstractmethod
    def finished(self, worker: str) -> None:
        """Counts a request that ended."""
