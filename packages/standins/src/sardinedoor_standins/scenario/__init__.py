"""Language for fault injection scenarios and the expected results."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_standins.scenario import bench


class ExpectationError(Exception):
    """An expectation of a scenario was not met."""


class Step(abc.ABC):
    """An action or expectation of a scenario."""

    @abc.abstractmethod
    async def run(self, fleet_bench: bench.Bench) -> None:
        """Performs the action or checks the expectation.

        Args:
            fleet_bench: The fleet, its load and its faults.

        Raises:
            ExpectationError: The expectation was not met.
        """


@dataclasses.dataclass(slots=True)
class Line:
    """A step with its line number and source text."""

    number: int
    text: str
    step: Step


@dataclasses.dataclass(slots=True)
class Scenario:
    """A parsed scenario."""

    title: str
    deployment: str
    seed: int
    lines: list[Line]
