"""Commands of the client for operators."""

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


def _unwrap(response):
    """Returns the value of a node's response, or exits with its error."""
    if response.is_err():
        output.print_error(response.unwrap_err())
        raise typer.Exit(exits.Exit.UNREACHABLE)
    return response.unwrap()


@app.command()
def check(
    path: Annotated[
        pathlib.Path,
        typer.Argument(help="Folder of a settings tree, or one file."),
    ],
    as_json: Json = False,
) -> None:
    """Checks settings offline and reports all faults at once."""
    check_result = settings_check.check(path)
    if as_json:
        output.print_json(check_result)
    else:
        print(views.check_result(check_result))
    if check_result.faults:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def status(node: Node, as_json: Json = False) -> None:
    """Shows the status of the fleet as known to one node."""
    fleet_status = _unwrap(admin.AdminClient(node).status())
    if as_json:
        output.print_json(fleet_status)
    else:
        print(views.status(fleet_status))
    if not fleet_status.ready:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def explain(
    method: Annotated[str, typer.Argument(help="HTTP method, such as GET.")],
    path: Annotated[str, typer.Argument(help="Path, with the query if any.")],
    node: Node,
    internal: Annotated[
        bool,
        typer.Option(help="Explain a request to the internal listener."),
    ] = False,
    as_json: Json = False,
) -> None:
    """Shows the route and the targets of a request without sending it."""
    question = admin_explain.Question(method.upper(), path, not internal)
    explained = _unwrap(admin.AdminClient(node).explain(question))
    if as_json:
        output.print_json(explained)
    else:
        print(views.explanation(explained))
    if explained.code:
        raise typer.Exit(exits.Exit.NEGATIVE)


@app.command()
def drain(
    worker: Annotated[str, typer.Argument(help="Name of the worker.")],
    tree: Annotated[
        pathlib.Path, typer.Option(help="Folder of a settings tree.")
    ],
    write: Annotated[
        bool, typer.Option(help="Write the edit to the team's file.")
    ] = False,
    as_json: Json = False,
) -> None:
    """Removes a worker from its service by an edit of the settings tree.

    Once the edited file is published, the worker gets no new requests and
    finishes those in flight. Without --write no file is changed. An edit
    that leaves the service fewer workers than its floor is refused.
    """
    drain_result = settings_drain.drain(tree, worker)
    if drain_result.is_err():
        output.print_error(drain_result.unwrap_err())
        raise typer.Exit(exits.Exit.NEGATIVE)
    edit = drain_result.unwrap()
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
        typer.Option(
            help="DNS name or IP address of a certificate; repeatable."
        ),
    ] = None,
    valid_days: Annotated[
        int,
        typer.Option(
            min=1, max=3650, help="Validity of the certificate, in days."
        ),
    ] = 90,
    as_json: Json = False,
) -> None:
    """Generates link keys and, with --name, a self-signed certificate.

    The output contains secret keys: put them only into the nodes' own settings.
    """
    # cryptography takes longer to import than the other commands take to run.
    from sardinedoor_cli import keys as key_generation

    pair = key_generation.make_link_keys()
    certificate = None
    if name:
        now = clock.SystemClock().now()
        certificate = key_generation.make_certificate(name, valid_days, now)
    if as_json:
        output.print_json(views.Keys(pair, certificate))
    else:
        print(views.keys(pair, certificate))


@app.command()
def load(
    deployment: Annotated[
        pathlib.Path, typer.Option(help="Folder of a deployment.")
    ] = pathlib.Path("examples/attica"),
    seed: Annotated[int, typer.Option(help="Seed of the random load.")] = 1,
    plot: Annotated[
        pathlib.Path | None,
        typer.Option(help="PNG file to plot the latencies to."),
    ] = None,
    as_json: Json = False,
) -> None:
    """Runs a short load test with faults on loopback and prints a report."""
    # These modules take longer to import than the other commands take to run.
    from sardinedoor_cli import load as load_test
    from sardinedoor_standins import deployment as deployments

    try:
        test_result = load_test.run(deployment, seed)
    except deployments.DeploymentError as e:
        output.print_error(str(e))
        raise typer.Exit(exits.Exit.UNREACHABLE) from e
    except asyncio.CancelledError as e:
        output.print_error("interrupted; all started processes were stopped")
        raise typer.Exit(exits.Exit.INTERRUPTED) from e
    if plot is not None:
        load_test.plot(test_result, plot)
    if as_json:
        output.print_json(test_result.report)
    else:
        print(test_result.report.table())
    if test_result.report.broken:
        raise typer.Exit(exits.Exit.NEGATIVE)


def run() -> None:
    """Runs the command line client; entry point of its script."""
    app()


if __name__ == "__main__":
    run()
