"""Switches mechanisms off, one at a time, and runs what proves each.

Each mutant is a scratch copy of the node's source in which one piece of text
is replaced. A mechanism that the fault grid or its tests prove leaves no mutant
standing.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import Annotated

import mechanisms
import typer

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCE = _ROOT / "packages/node/src"
_PACKAGE = "sardinedoor_node"
_GRID = _ROOT / "bench/faultgrid.py"
_TESTS = [
    _ROOT / "tests/test_link/test_link_silence.py",
    _ROOT / "tests/test_owner/test_owner_exchange.py",
    _ROOT / "tests/test_owner/test_owner_keys.py",
    _ROOT / "tests/test_owner/test_owner_quarantine.py",
    _ROOT / "tests/test_owner/test_owner_target.py",
]


@dataclasses.dataclass(slots=True)
class Result:
    """What a mutant broke."""

    seeds: list[int]
    tests: list[str]


def run_mutant(mutant: mechanisms.Mechanism, seeds: int) -> Result:
    """Runs the grid and the tests of exchanges on a mutant.

    Args:
        mutant: What to switch off.
        seeds: Number of schedules.

    Returns:
        The schedules and tests that broke.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / _PACKAGE
        shutil.copytree(_SOURCE / _PACKAGE, copy)
        path = copy / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            raise ValueError(f"{mutant.name}: text is not there once")
        path.write_text(text.replace(mutant.old, mutant.new))
        grid = ""
        if not mutant.tests:
            grid = _run(folder, [str(_GRID), f"--seeds={seeds}"])
        chosen = [_ROOT / t for t in mutant.tests] or _TESTS
        tests = _run(folder, ["-m", "pytest", *map(str, chosen)])
    return Result(
        [int(line.split()[-1]) for line in _lines(grid, "broken by seed")],
        [line.split("::")[-1].split()[0] for line in _lines(tests, "FAILED")],
    )


def _run(folder: str, arguments: list[str]) -> str:
    done = subprocess.run(
        [sys.executable, *arguments],
        env={**os.environ, "PYTHONPATH": folder},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout


def _lines(output: str, prefix: str) -> list[str]:
    return [line for line in output.splitlines() if line.startswith(prefix)]


def main(
    seeds: Annotated[int, typer.Option(help="Schedules per mutant.")] = 600,
    only: Annotated[str, typer.Option(help="Part of a file's path.")] = "",
) -> None:
    """Prints which schedules and tests each mutant breaks."""
    standing = 0
    for mutant in mechanisms.MECHANISMS:
        if only not in mutant.file:
            continue
        broken = run_mutant(mutant, seeds)
        standing += not broken.seeds and not broken.tests
        print(
            f"{mutant.name}: {len(broken.seeds)} schedules, first"
            f" {min(broken.seeds, default=None)}; tests {broken.tests}",
            flush=True,
        )
    raise typer.Exit(1 if standing else 0)


if __name__ == "__main__":
    typer.run(main)
