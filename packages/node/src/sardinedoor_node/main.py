"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from typing import Annotated

import typer
import zmq

from sardinedoor_node import daemon
from sardinedoor_node.settings import nodefile
from sardinedoor_node.util import logs
from sardinedoor_node.util import signals

EXIT_SETTINGS = 2
EXIT_LISTEN = 3

_app = typer.Typer(add_completion=False)


@_app.command()
def main(
    settings: Annotated[
        pathlib.Path, typer.Option(help="The node's own settings file.")
    ],
) -> None:
    """Runs a node until it is told to stop."""
    loaded = nodefile.load(settings)
    if loaded.is_err():
        for fault in loaded.unwrap_err():
            print(fault, file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS)
    file = loaded.unwrap()
    logs.configure(file.node.name, file.node.log_level)
    try:
        asyncio.run(_run(file))
    except (OSError, zmq.ZMQError) as e:
        print(f"can't listen: {e}", file=sys.stderr)
        raise typer.Exit(EXIT_LISTEN) from e


async def _run(file: nodefile.NodeFile) -> None:
    node = daemon.Daemon(file)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    await node.run()
    signals.ignore(signal.SIGTERM, signal.SIGINT)


def run() -> None:
    """Runs the command line; entry point of the package."""
    _app()


if __name__ == "__main__":
    run()
