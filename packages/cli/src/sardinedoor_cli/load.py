"""A bounded load and fault run on loopback, with a report and a plot."""

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

_COLOURS = {
    load.Fate.ANSWERED: "tab:blue",
    load.Fate.NOT_RUN: "tab:orange",
    load.Fate.UNKNOWN: "tab:red",
    load.Fate.CUT: "black",
    load.Fate.NOT_SENT: "tab:gray",
}
_DOT_SIZE = 4
_DPI = 120


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a run measured, and all its requests."""

    report: report.Report
    samples: list[load.Sample]
    events: list[demo.Event]


def run(folder: pathlib.Path, seed: int) -> Outcome:
    """Runs a deployment small, with a gray failure and a planned stop.

    Args:
        folder: Folder of the deployment.
        seed: Seed of the load.

    Returns:
        The measurements. Everything that was started has ended.

    Raises:
        deployment.DeploymentError: The folder holds no valid deployment.
    """
    chosen = deployment.load(folder)
    with tempfile.TemporaryDirectory() as logs:
        story = demo.Demo(chosen, pathlib.Path(logs), seed)
        measured = asyncio.run(demo.interruptible(story))
    return Outcome(measured, story.samples, story.events)


def plot(outcome: Outcome, path: pathlib.Path) -> None:
    """Draws the latency of each request over time into a PNG file."""
    # Imported here, since it takes longer than all other commands need.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 4.5))
    begin = min(s.sent for s in outcome.samples)
    for fate, colour in _COLOURS.items():
        chosen = [s for s in outcome.samples if s.fate is fate and s.latency_s]
        if chosen:
            axes.scatter(
                [s.sent - begin for s in chosen],
                [s.latency_s * 1000 for s in chosen],
                s=_DOT_SIZE,
                color=colour,
                label=f"{fate.value} ({len(chosen)})",
            )
    for event in outcome.events:
        axes.axvline(event.at - begin, color="gray", linestyle="--")
        axes.annotate(
            event.text,
            (event.at - begin, 1),
            xycoords=("data", "axes fraction"),
            textcoords="offset points",
            xytext=(4, -10),
            fontsize=8,
        )
    axes.set_yscale("log")
    axes.set_xlabel("time in s")
    axes.set_ylabel("latency in ms")
    axes.set_title(f"Requests by outcome: {outcome.report.deployment}")
    axes.legend(loc="center right", markerscale=3)
    figure.tight_layout()
    figure.savefig(path, dpi=_DPI)
    pyplot.close(figure)
