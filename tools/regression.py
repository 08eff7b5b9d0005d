"""Plays a few days of the users' bench and compares them with recorded ones.

The bench is the users' program; its path and the folder of the site files are
given. Each run leaves an entry in the journal, from which the figures are read.
"""

from __future__ import annotations

import configparser
import dataclasses
import json
import pathlib
import subprocess
from typing import Annotated

import typer

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_LIST = _ROOT / "deploy/regression.ini"
_JOURNAL = _ROOT / "journal"
# The users call smaller differences noise.
_MAX_FALL = 0.03


@dataclasses.dataclass(slots=True)
class Day:
    """A day of the list.

    Attributes:
        site: Path of the site file, relative to the folder of sites.
        name: Name of the day in the site file.
        recorded: Figure of the last landing; None if there is none.
    """

    site: str
    name: str
    recorded: float | None


@dataclasses.dataclass(slots=True)
class Result:
    """Result of one played day.

    Attributes:
        worth: Credit less prices.
        broken: Names of the rules that were broken, with their counts.
        fault: What went wrong with the day as a whole; empty for nothing.
    """

    worth: float
    broken: dict[str, int]
    fault: str


def read_days(text: str) -> list[Day]:
    """Reads the list of days.

    Args:
        text: INI with a section for each site, and in it a line for each day
            with its figure, which may be empty.

    Raises:
        ValueError: A figure is not a number.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    parser.read_string(text)
    return [
        Day(site, name, float(figure) if figure else None)
        for site in parser.sections()
        for name, figure in parser.items(site)
    ]


def read_result(entry: dict) -> Result:
    """Reads the result of the only day of a journal entry.

    Raises:
        ValueError: The entry holds no day, or several.
    """
    days = entry.get("days", [])
    if len(days) != 1:
        raise ValueError(f"the journal entry has {len(days)} days, not one")
    day = days[0]
    prices = sum(price[-1] for price in day["prices"])
    worth = sum(weight * share for _, weight, share in day["parts"]) - prices
    return Result(worth, dict(day["rules"]), day["fault"] or "")


def verdict(day: Day, result: Result) -> str:
    """Returns why a day failed; empty if it held."""
    if result.fault:
        return result.fault
    if result.broken:
        return "rules broken: " + ", ".join(sorted(result.broken))
    if day.recorded is not None and result.worth < day.recorded - _MAX_FALL:
        return f"fell from {day.recorded:.3f}"
    return ""


def _play(bench: str, site: pathlib.Path, name: str) -> Result:
    before = set(_JOURNAL.glob("*.json"))
    subprocess.run(
        [bench, "run", str(site), name, "--why", "regression"],
        cwd=_ROOT,
        check=True,
        stdout=subprocess.DEVNULL,
    )
    (path,) = set(_JOURNAL.glob("*.json")) - before
    return read_result(json.loads(path.read_text()))


def main(
    bench: Annotated[str, typer.Argument(help="Path of the bench.")],
    sites: Annotated[pathlib.Path, typer.Argument(help="Folder of sites.")],
) -> None:
    """Plays the days of deploy/regression.ini, one after the other."""
    failed = 0
    for day in read_days(_LIST.read_text()):
        result = _play(bench, sites / day.site, day.name)
        reason = verdict(day, result)
        failed += bool(reason)
        recorded = "" if day.recorded is None else f"{day.recorded:.3f}"
        print(
            f"{day.site:32} {day.name:10} {recorded:>6} {result.worth:6.3f}"
            f"  {reason or 'holds'}",
            flush=True,
        )
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
