"""Mutation testing of the mechanisms that the package `mechanisms` lists.

Each mutant is a temporary copy of the node's source in which one mechanism is
disabled by replacing one piece of text. The fault grid or the tests must detect
the mutant; a mutant that they do not detect has survived. The exit status is 1
if any mutant survived, and 2, before any run, if a text is not in the source.
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
from mechanisms import mechanism
import typer

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_GRID_PROGRAM = _ROOT / "bench/faultgrid.py"
_EXCHANGE_TESTS = [
    _ROOT / "tests/test_link/test_link_silence.py",
    _ROOT / "tests/test_owner/test_owner_exchange.py",
    _ROOT / "tests/test_owner/test_owner_keys.py",
    _ROOT / "tests/test_owner/test_owner_quarantine.py",
    _ROOT / "tests/test_owner/test_owner_target.py",
]


@dataclasses.dataclass(slots=True)
class Result:
    """Failures that one mutant caused.

    Attributes:
        broken_seeds: Seeds of the fault schedules that broke a promise.
        failed_tests: Names of the tests that failed.
    """

    broken_seeds: list[int]
    failed_tests: list[str]


def run_mutant(mutation: mechanism.Mechanism, seeds: int) -> Result:
    """Runs the mechanism's tests on a source in which it is disabled.

    A mechanism without tests of its own is tested by the fault grid and the
    tests of exchanges.

    Args:
        mutation: The mechanism to disable.
        seeds: Number of fault schedules.

    Returns:
        The schedules and tests that failed.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / mechanisms.PACKAGE_NAME
        shutil.copytree(
            mechanisms.SOURCE_FOLDER / mechanisms.PACKAGE_NAME, copy
        )
        path = copy / mutation.file
        text = path.read_text()
        path.write_text(text.replace(mutation.old, mutation.new))
        grid_output = ""
        if not mutation.tests:
            grid_output = _run_python(
                folder, [str(_GRID_PROGRAM), f"--seeds={seeds}"]
            )
        test_files = [_ROOT / t for t in mutation.tests] or _EXCHANGE_TESTS
        test_output = _run_python(
            folder, ["-m", "pytest", *map(str, test_files)]
        )
    return Result(
        [
            int(line.split()[-1])
            for line in _lines_with_prefix(grid_output, "broken by seed")
        ],
        [
            line.split("::")[-1].split()[0]
            for line in _lines_with_prefix(test_output, "FAILED")
        ],
    )


def _run_python(folder: str, arguments: list[str]) -> str:
    completed = subprocess.run(
        [sys.executable, *arguments],
        env={**os.environ, "PYTHONPATH": folder},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout


def _lines_with_prefix(output: str, prefix: str) -> list[str]:
    return [line for line in output.splitlines() if line.startswith(prefix)]


def main(
    seeds: Annotated[
        int, typer.Option(help="Fault schedules per mutant.")
    ] = 600,
    only: Annotated[
        str, typer.Option(help="Substring of the source file's path.")
    ] = "",
) -> None:
    """Prints the fault schedules and tests that detect each mutant."""
    missing = mechanisms.missing_texts()
    for name in missing:
        print(f"{name}: its text is not exactly once in the source")
    if missing:
        raise typer.Exit(2)
    survivors = 0
    for mutation in mechanisms.MECHANISMS:
        if only not in mutation.file:
            continue
        result = run_mutant(mutation, seeds)
        survivors += not result.broken_seeds and not result.failed_tests
        print(
            f"{mutation.name}: {len(result.broken_seeds)} schedules, first"
            f" {min(result.broken_seeds, default=None)};"
            f" tests {result.failed_tests}",
            flush=True,
        )
    raise typer.Exit(1 if survivors else 0)


if __name__ == "__main__":
    typer.run(main)
