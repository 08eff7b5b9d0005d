"""A small language for failures of a fleet and what must hold then."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_standins.scenario import bench


class ExpectationError(Exception):
    """What a scenario expects did not hold."""


class Step(abc.ABC):
    """One line of a scenario."""

    @abc.abstractmethod
    async def run(self, fleet_bench: bench.Bench) -> None:
        """Does the step, or checks what it expects.

        Args:
            fleet_bench: The fleet, its load and its faults.

        Raises:
            ExpectationError: An expectation did not hold.
        """


@dataclasses.dataclass(slots=True)
class Line:
    """A step and its text."""

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
