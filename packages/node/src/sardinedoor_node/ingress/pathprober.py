"""Probing of owners whose messages have stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import pings
    from sardinedoor_node.membership import table
    from sardinedoor_node.picking import path
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

_CHECK_INTERVAL_S = 0.1


class PathProber:
    """Pings silent owners.

    Pings use the same link as requests, because an answer on another link
    wouldn't show that requests can reach the owner.
    """

    def __init__(
        self,
        paths: path.PathMonitor,
        pinger: pings.Pinger,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
        group: tasks.TaskGroup,
    ):
        """Stores the collaborators; `run` starts the probing.

        Args:
            paths: Evidence on the paths to owners.
            pinger: Sends pings.
            members: Contains the link address of each owner.
            transport: The node's links.
            time: The clock.
            group: Runs the pings.
        """
        self._paths = paths
        self._pinger = pinger
        self._members = members
        self._transport = transport
        self._clock = time
        self._tasks = group

    async def run(self) -> None:
        """Probes silent owners until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            for name in self._paths.start_due_probes(self._clock.monotonic()):
                self._tasks.spawn(self._probe(name), "ask-path")

    async def _probe(self, name: str) -> None:
        entry = self._members.entries.get(name)
        if entry is None:
            self._paths.forget(name)
            return
        channel = self._transport.connect(entry.name, entry.link)
        if await self._pinger.ping(name, channel):
            self._paths.frame_received(name, self._clock.monotonic())
