"""Command line that runs scenario files."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from sardinedoor_standins.scenario import runner

_EXIT_FAILED = 1


def main(
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Scenario files.")
    ],
    deployments: Annotated[
        pathlib.Path, typer.Option(help="Folder of deployments.")
    ] = pathlib.Path("tests/roots/deployments"),
) -> None:
    """Runs scenarios one after the other and prints a verdict for each."""
    verdicts = [runner.run_file(path, deployments) for path in files]
    for verdict in verdicts:
        state = f"FAILED  {verdict.failure}" if verdict.failure else "passed"
        print(f"{verdict.seconds:6.1f} s  {verdict.title}: {state}")
    if any(v.failure for v in verdicts):
        raise typer.Exit(_EXIT_FAILED)


if __name__ == "__main__":
    typer.run(main)
