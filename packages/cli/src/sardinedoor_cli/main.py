"""Command line of the operators' client."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Annotated

import typer

from sardinedoor_cli import admin
from sardinedoor_cli import check as settings_check
from sardinedoor_cli import drain as settings_drain
from sardinedoor_cli import exits
from sardinedoor_cli import output
from sardinedoor_cli import views
from sardinedoor_node.admin import explain as admin_explain
from sardinedoor_node.util import clock

app = typer.Typer(no_args_is_help=True, help="Client for operators.")

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Node = Annotated[
    str,
    typer.Option(
        envvar="SARDINEDOOR_NODE", help="Address of a node's admin listener."
    ),
]


def _unwrap(answer):
    """Returns what a node answered, or exits."""
    if answer.is_err():
        output.complain(answer.unwrap_err())
        raise typer.Exit(exits.Exit.UNREACHABLE)
    return answer.unwrap()


@app.command()
def check(
    path: Annotated[
        pathlib.Path, typer.Argument(help="Settings tree, or one file.")
    ],
    as_json: Json = False,
) -> None:
    """Checks settings offline and tells all faults at once."""
    checked = settings_check.check(path)
    if as_json:
        output.print_json(checked)
    else:
        print(views.checked(checked))
    if checked.faults:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def status(node: Node, as_json: Json = False) -> None:
    """Shows the fleet as one node sees it."""
    found = _unwrap(admin.AdminClient(node).status())
    if as_json:
        output.print_json(found)
    else:
        print(views.status(found))
    if not found.ready:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def explain(
    method: Annotated[str, typer.Argument(help="Such as GET.")],
    path: Annotated[str, typer.Argument(help="Path with its query.")],
    node: Node,
    internal: Annotated[
        bool, typer.Option(help="Ask as a caller among the services.")
    ] = False,
    as_json: Json = False,
) -> None:
    """Tells which route and targets a request would take, and why."""
    question = admin_explain.Question(method.upper(), path, not internal)
    found = _unwrap(admin.AdminClient(node).explain(question))
    if as_json:
        output.print_json(found)
    else:
        print(views.explanation(found))
    if found.code:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def drain(
    worker: Annotated[str, typer.Argument(help="Name of the worker.")],
    tree: Annotated[pathlib.Path, typer.Option(help="Settings tree.")],
    write: Annotated[
        bool, typer.Option(help="Write the edit into the team's file.")
    ] = False,
    as_json: Json = False,
) -> None:
    """Takes a worker out of its service, by an edit of the settings tree.

    The worker gets no new work once the edited file is published, and
    finishes what it has. Nothing is written without --write, and no edit
    is made that leaves fewer workers than the floor.
    """
    made = settings_drain.drain(tree, worker)
    if made.is_err():
        output.complain(made.unwrap_err())
        raise typer.Exit(exits.Exit.NEGATIVE)
    edit = made.unwrap()
    if write:
        pathlib.Path(edit.file).write_text(edit.text)
    if as_json:
        output.print_json(edit)
    else:
        print(views.edit(edit, write))


@app.command()
def keys(
    name: Annotated[
        list[str] | None,
        typer.Option(help="Name or IP number for a certificate, repeatable."),
    ] = None,
    valid_days: Annotated[
        int, typer.Option(min=1, max=3650, help="Days a certificate is valid.")
    ] = 90,
    as_json: Json = False,
) -> None:
    """Makes keys for node links, and with --name a trial certificate.

    What is printed is secret: put it into the nodes' own settings.
    """
    # Imported here, since it takes longer than the other commands need.
    from sardinedoor_cli import keys as key_making

    pair = key_making.make_link_keys()
    certificate = None
    if name:
        now = clock.SystemClock().now()
        certificate = key_making.make_certificate(name, valid_days, now)
    if as_json:
        output.print_json(views.Keys(pair, certificate))
    else:
        print(views.keys(pair, certificate))


@app.command()
def load(
    deployment: Annotated[
        pathlib.Path, typer.Option(help="Folder of a deployment.")
    ] = pathlib.Path("examples/attica"),
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="PNG file to draw.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Runs a bounded load with faults on loopback and reports it."""
    # Imported here, since it takes longer than the other commands need.
    from sardinedoor_cli import load as load_run
    from sardinedoor_standins import deployment as deployments

    try:
        outcome = load_run.run(deployment, seed)
    except deployments.DeploymentError as e:
        output.complain(str(e))
        raise typer.Exit(exits.Exit.UNREACHABLE) from e
    except asyncio.CancelledError as e:
        output.complain("interrupted; everything was stopped")
        raise typer.Exit(exits.Exit.INTERRUPTED) from e
    if plot is not None:
        load_run.plot(outcome, plot)
    if as_json:
        output.print_json(outcome.report)
    else:
        print(outcome.report.table())
    if outcome.report.broken:
        raise typer.Exit(exits.Exit.NEGATIVE)


def run() -> None:
    """Entry point of the binary."""
    app()


if __name__ == "__main__":
    run()
