"""Runs scenarios."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING

from sardinedoor_standins import deployment
from sardinedoor_standins import scenario
from sardinedoor_standins.scenario import bench
from sardinedoor_standins.scenario import parser

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class Verdict:
    """What became of a scenario; `fault` is empty if all held."""

    title: str
    fault: str
    seconds: float


def read(path: pathlib.Path) -> scenario.Scenario:
    """Reads a scenario file.

    Raises:
        parser.ScenarioSyntaxError: The file isn't a scenario.
    """
    return parser.parse(path.read_text(), path.name)


async def run(
    chosen: scenario.Scenario,
    deployments: pathlib.Path,
    say: Callable[[str], None],
) -> Verdict:
    """Runs a scenario and ends all that it started.

    Args:
        chosen: The scenario.
        deployments: Folder that holds the deployments.
        say: Gets a line of progress for each step.

    Returns:
        The verdict; the first expectation that doesn't hold ends the run.
    """
    begin = time.monotonic()
    say(f"scenario {chosen.title!r}, seed {chosen.seed}")
    setup = deployment.load(deployments / chosen.deployment)
    fault = ""
    with tempfile.TemporaryDirectory() as folder:
        fleet_bench = bench.Bench(setup, pathlib.Path(folder), chosen.seed)
        try:
            fault = await _run_lines(chosen, fleet_bench, say)
        finally:
            await fleet_bench.close()
    return Verdict(chosen.title, fault, time.monotonic() - begin)


async def _run_lines(
    chosen: scenario.Scenario,
    fleet_bench: bench.Bench,
    say: Callable[[str], None],
) -> str:
    begin = time.monotonic()
    for line in chosen.lines:
        say(f"  {time.monotonic() - begin:6.2f} s  {line.text}")
        try:
            await line.step.run(fleet_bench)
        except (scenario.ExpectationError, TimeoutError) as e:
            return f"line {line.number}: {line.text}: {e}"
    return ""


def run_file(path: pathlib.Path, deployments: pathlib.Path) -> Verdict:
    """Runs a scenario file and prints its progress."""
    return asyncio.run(
        run(read(path), deployments, lambda text: print(text, flush=True))
    )
