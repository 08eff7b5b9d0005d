"""Runs scenarios and returns their verdicts."""

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
    """Result of a scenario; `failure` is empty if it passed."""

    title: str
    failure: str
    seconds: float


def read(path: pathlib.Path) -> scenario.Scenario:
    """Reads a scenario file.

    Raises:
        parser.ScenarioSyntaxError: The file isn't a valid scenario.
    """
    return parser.parse(path.read_text(), path.name)


async def run(
    selected: scenario.Scenario,
    deployments: pathlib.Path,
    report_progress: Callable[[str], None],
) -> Verdict:
    """Runs a scenario and then stops all its processes.

    Args:
        selected: The scenario.
        deployments: Folder that contains the deployments.
        report_progress: Called with a line of text for each step.

    Returns:
        The verdict; the run stops at the first expectation that isn't met.
    """
    begin = time.monotonic()
    report_progress(f"scenario {selected.title!r}, seed {selected.seed}")
    setup = deployment.load(deployments / selected.deployment)
    failure = ""
    with tempfile.TemporaryDirectory() as folder:
        fleet_bench = bench.Bench(setup, pathlib.Path(folder), selected.seed)
        try:
            failure = await _run_lines(selected, fleet_bench, report_progress)
        finally:
            await fleet_bench.close()
    return Verdict(selected.title, failure, time.monotonic() - begin)


async def _run_lines(
    selected: scenario.Scenario,
    fleet_bench: bench.Bench,
    report_progress: Callable[[str], None],
) -> str:
    begin = time.monotonic()
    for line in selected.lines:
        report_progress(f"  {time.monotonic() - begin:6.2f} s  {line.text}")
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
