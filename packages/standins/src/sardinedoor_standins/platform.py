"""Fake platform: HTTP API of the settings and of the list of instances.

Nodes read from `/v1`; tests change data and inject faults with `/edit`. A
subtree is the settings of one team.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
from typing import Annotated

import msgspec
from tornado import web
import typer

from sardinedoor_schema.generated import platform
from sardinedoor_standins import board as platform_board

_HANG_S = 3600.0


class _Handler(web.RequestHandler):
    def initialize(self, board: platform_board.Board) -> None:
        self._board = board

    def _reply(self, body: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class _ReadHandler(_Handler):
    """Handler of the API for nodes, with call counts and fault injection.

    Attributes:
        kind: Field of `CallCounts` that counts the calls.
    """

    kind = ""

    async def prepare(self) -> None:
        calls = self._board.calls
        setattr(calls, self.kind, getattr(calls, self.kind) + 1)
        if self._board.faults.hang:
            await asyncio.sleep(_HANG_S)
        self._raise_if_down()

    def _raise_if_down(self) -> None:
        if self._board.faults.down:
            raise web.HTTPError(503)

    @property
    def _after(self) -> int:
        """Index that the caller has; a long poll waits for a higher one."""
        return int(self.get_query_argument("after", "0"))

    @property
    def _wait_s(self) -> float:
        """Maximum duration of the long poll, in s."""
        return float(self.get_query_argument("wait", "0"))


class _SettingsHandler(_ReadHandler):
    kind = "settings"

    async def get(self) -> None:
        await self._board.wait_settings(self._after, self._wait_s)
        self._raise_if_down()
        view = self._board.view()
        teams = [
            platform.TeamRevision(s.team, s.revision)
            for s in view.subtrees.values()
        ]
        self._reply(platform.SettingsIndex(view.settings_index, teams))


class _SubtreeHandler(_ReadHandler):
    kind = "subtree"

    async def get(self, team: str) -> None:
        subtree = self._board.view().subtrees.get(team)
        if subtree is None:
            raise web.HTTPError(404)
        self._reply(subtree)


class _InstancesHandler(_ReadHandler):
    kind = "instances"

    async def get(self) -> None:
        domain = self.get_query_argument("failure_domain", "")
        board = self._board
        await board.wait_instances(domain, self._after, self._wait_s)
        self._raise_if_down()
        index = board.instances_index(domain)
        instances = board.instances(domain)
        self._reply(platform.InstanceList(index, instances))


class _EditSettingsHandler(_Handler):
    """Edits a subtree, as operators do; nodes don't call this API."""

    async def put(self, team: str) -> None:
        text = self.request.body.decode()
        self._reply(await self._board.put_subtree(team, text))


class _EditInstancesHandler(_Handler):
    async def put(self) -> None:
        instances = msgspec.json.decode(
            self.request.body, type=list[platform.Instance]
        )
        await self._board.put_instances(instances)
        self.finish()


class _FaultsHandler(_Handler):
    async def put(self) -> None:
        faults = msgspec.json.decode(
            self.request.body, type=platform_board.Faults
        )
        await self._board.set_faults(faults)
        self.finish()


class _RestoreHandler(_Handler):
    async def put(self) -> None:
        await self._board.restore()
        self.finish()


class _ReadsHandler(_Handler):
    async def get(self) -> None:
        calls = self._board.calls
        self._reply({"reads": calls.total, "calls": calls})


def make_application(board: platform_board.Board) -> web.Application:
    """Builds the HTTP application of the fake platform."""
    arguments = {"board": board}
    return web.Application(
        [
            ("/v1/settings", _SettingsHandler, arguments),
            ("/v1/settings/([^/]+)", _SubtreeHandler, arguments),
            ("/v1/instances", _InstancesHandler, arguments),
            ("/edit/settings/([^/]+)", _EditSettingsHandler, arguments),
            ("/edit/instances", _EditInstancesHandler, arguments),
            ("/edit/faults", _FaultsHandler, arguments),
            ("/edit/restore", _RestoreHandler, arguments),
            ("/edit/reads", _ReadsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def _run(address: str, tree: pathlib.Path | None) -> None:
    board = platform_board.Board()
    if tree is not None:
        for path in sorted(tree.glob("*.ini")):
            await board.put_subtree(path.stem, path.read_text())
    host, _, port = address.rpartition(":")
    make_application(board).listen(int(port), address=host)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def main(
    address: Annotated[str, typer.Option(help="IP address and port.")],
    tree: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder with a TEAM.ini per team."),
    ] = None,
) -> None:
    """Serves a settings tree and a list of instances."""
    asyncio.run(_run(address, tree))


if __name__ == "__main__":
    typer.run(main)
