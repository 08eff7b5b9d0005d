"""Stand-in of the configuration service and of the list of instances."""

from __future__ import annotations

import asyncio
import pathlib
import signal
from typing import Annotated

import msgspec
from tornado import web
import typer

from sardinedoor_schema.generated import platform

_MAX_WAIT_S = 60.0


class Board:
    """Values with an index that grows with each change."""

    def __init__(self) -> None:
        self.settings_index = 0
        self.instances_index = 0
        self.subtrees: dict[str, platform.Subtree] = {}
        self.instances: dict[str, platform.Instance] = {}
        self.reads = 0
        self._changed = asyncio.Condition()

    async def put_subtree(self, team: str, text: str) -> platform.Subtree:
        """Stores a new revision of a team's subtree."""
        self.settings_index += 1
        subtree = platform.Subtree(team, self.settings_index, text)
        self.subtrees[team] = subtree
        await self._notify()
        return subtree

    async def put_instances(self, instances: list[platform.Instance]) -> None:
        """Replaces the list of instances."""
        self.instances_index += 1
        self.instances = {i.name: i for i in instances}
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def wait(self, attribute: str, after: int, wait_s: float) -> None:
        """Waits until an index is higher than `after`, or time is up."""
        try:
            async with asyncio.timeout(min(wait_s, _MAX_WAIT_S)):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: getattr(self, attribute) > after
                    )
        except TimeoutError:
            pass


class _Handler(web.RequestHandler):
    def initialize(self, board: Board) -> None:
        self._board = board

    def _reply(self, body: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    async def _watch(self, attribute: str) -> None:
        self._board.reads += 1
        after = int(self.get_query_argument("after", "0"))
        wait_s = float(self.get_query_argument("wait", "0"))
        if wait_s > 0:
            await self._board.wait(attribute, after, wait_s)


class _SettingsHandler(_Handler):
    async def get(self) -> None:
        await self._watch("settings_index")
        board = self._board
        teams = [
            platform.TeamRevision(s.team, s.revision)
            for s in board.subtrees.values()
        ]
        self._reply(platform.SettingsIndex(board.settings_index, teams))


class _SubtreeHandler(_Handler):
    async def get(self, team: str) -> None:
        self._board.reads += 1
        subtree = self._board.subtrees.get(team)
        if subtree is None:
            raise web.HTTPError(404)
        self._reply(subtree)


class _InstancesHandler(_Handler):
    async def get(self) -> None:
        await self._watch("instances_index")
        board = self._board
        instances = list(board.instances.values())
        self._reply(platform.InstanceList(board.instances_index, instances))


class _EditHandler(_Handler):
    """Operators' side: it isn't part of what nodes may call."""

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


class _ReadsHandler(_Handler):
    async def get(self) -> None:
        self._reply({"reads": self._board.reads})


def make_application(board: Board) -> web.Application:
    """Builds the application."""
    arguments = {"board": board}
    return web.Application(
        [
            ("/v1/settings", _SettingsHandler, arguments),
            ("/v1/settings/([^/]+)", _SubtreeHandler, arguments),
            ("/v1/instances", _InstancesHandler, arguments),
            ("/edit/settings/([^/]+)", _EditHandler, arguments),
            ("/edit/instances", _EditInstancesHandler, arguments),
            ("/edit/reads", _ReadsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def _run(address: str, tree: pathlib.Path | None) -> None:
    board = Board()
    if tree is not None:
        for path in sorted(tree.glob("*.ini")):
            await board.put_subtree(path.stem, path.read_text())
    host, _, port = address.rpartition(":")
    make_application(board).listen(int(port), address=host)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def main(
    address: Annotated[str, typer.Option(help="IP number and port.")],
    tree: Annotated[
        pathlib.Path | None, typer.Option(help="Folder of subtrees.")
    ] = None,
) -> None:
    """Serves a settings tree and a list of instances."""
    asyncio.run(_run(address, tree))


if __name__ == "__main__":
    typer.run(main)
