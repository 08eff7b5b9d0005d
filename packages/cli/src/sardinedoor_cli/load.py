"""Runs a short load test with faults on loopback and plots its latencies."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
from typing import TYPE_CHECKING

from sardinedoor_standins import demo
from sardinedoor_standins import deployment
from sardinedoor_standins import load

if TYPE_CHECKING:
    from sardinedoor_standins import report

_COLOUR_BY_FATE = {
    load.Fate.ANSWERED: "tab:blue",
    load.Fate.NOT_RUN: "tab:orange",
    load.Fate.UNKNOWN: "tab:red",
    load.Fate.CUT: "black",
    load.Fate.NOT_SENT: "tab:gray",
}
_MARKER_SIZE = 4
_DPI = 120


@dataclasses.dataclass(slots=True)
class LoadTestResult:
    """Result of a load test.

    Attributes:
        report: Summary of the measurements.
        samples: One sample for each request.
        events: Faults and planned stops during the test.
    """

    report: report.Report
    samples: list[load.Sample]
    events: list[demo.Event]


def run(folder: pathlib.Path, seed: int) -> LoadTestResult:
    """Runs a scaled-down deployment with a gray failure and a planned stop.

    All processes that it starts have ended when it returns.

    Args:
        folder: Folder of the deployment.
        seed: Seed of the random load.

    Returns:
        The result of the test.

    Raises:
        deployment.DeploymentError: The folder has no valid deployment.
    """
    deployment_settings = deployment.load(folder)
    with tempfile.TemporaryDirectory() as logs:
        demo_run = demo.Demo(deployment_settings, pathlib.Path(logs), seed)
        demo_report = asyncio.run(demo.run_interruptible(demo_run))
    return LoadTestResult(demo_report, demo_run.samples, demo_run.events)


def plot(test_result: LoadTestResult, path: pathlib.Path) -> None:
    """Draws the latency of each request over time into a PNG file."""
    # matplotlib takes longer to import than any other command takes to run.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 4.5))
    start = min(s.sent for s in test_result.samples)
    for fate, colour in _COLOUR_BY_FATE.items():
        selected = [
            s for s in test_result.samples if s.fate is fate and s.latency_s
        ]
        if selected:
            axes.scatter(
                [s.sent - start for s in selected],
                [s.latency_s * 1000 for s in selected],
                s=_MARKER_SIZE,
                color=colour,
                label=f"{fate.value} ({len(selected)})",
            )
    for event in test_result.events:
        axes.axvline(event.at - start, color="gray", linestyle="--")
        axes.annotate(
            event.text,
            (event.at - start, 1),
            xycoords=("data", "axes fraction"),
            textcoords="offset points",
            xytext=(4, -10),
            fontsize=8,
        )
    axes.set_yscale("log")
    axes.set_xlabel("time in s")
    axes.set_ylabel("latency in ms")
    axes.set_title(f"Requests by outcome: {test_result.report.deployment}")
    axes.legend(loc="center right", markerscale=3)
    figure.tight_layout()
    figure.savefig(path, dpi=_DPI)
    pyplot.close(figure)
