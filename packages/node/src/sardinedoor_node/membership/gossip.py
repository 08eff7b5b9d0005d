"""Disseminates updates of members and settings to the neighbours."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import link
    from sardinedoor_node.membership import neighbours
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

FLUSH_DELAY_S = 0.05
_MAX_RECORDS = 200

TeamsReceiver = "Callable[[link.Channel, list[wire.TeamState]], None]"


@dataclasses.dataclass(slots=True)
class _Pending:
    members: set[str] = dataclasses.field(default_factory=set)
    teams: set[str] = dataclasses.field(default_factory=set)


class Gossip:
    """Sends each update to every neighbour except the one that sent it.

    The queues hold only names. The records are read when a message is sent,
    so that it carries the newest ones.
    """

    def __init__(
        self,
        members: table.MemberTable,
        neighbour_set: neighbours.Neighbours,
        team_state: Callable[[str], wire.TeamState],
        time: clock.Clock,
    ):
        """Subscribes to updates of the member table.

        Args:
            members: The member table.
            neighbour_set: The neighbours that receive the updates.
            team_state: Returns the revisions that this node has of a team's
                settings.
            time: Clock.
        """
        self._members = members
        self._neighbours = neighbour_set
        self._team_state = team_state
        self._clock = time
        self._pending: dict[str, _Pending] = {}
        self._wake = asyncio.Event()
        # Name of the peer whose records are being applied; empty otherwise.
        self._sender = ""
        self._on_teams: TeamsReceiver | None = None
        # Channel on which records arrived last.
        self.last_channel: link.Channel | None = None
        members.on_gossip_due(self._on_member)

    def on_teams(self, receiver: TeamsReceiver) -> None:
        """Registers the receiver of the settings revisions of peers."""
        self._on_teams = receiver

    def _on_member(self, name: str) -> None:
        for pending in self._receiver_queues():
            pending.members.add(name)

    def announce_team(self, team: str) -> None:
        """Sends the neighbours the revisions that this node has of a team."""
        for pending in self._receiver_queues():
            pending.teams.add(team)

    def _receiver_queues(self) -> list[_Pending]:
        self._wake.set()
        return [
            self._pending.setdefault(name, _Pending())
            for name in self._neighbours.channels()
            if name != self._sender
        ]

    def on_message(self, channel: link.Channel, message: wire.Gossip) -> None:
        """Applies a gossip message of a peer."""
        self.apply(channel, message.sender, message.states, message.teams)

    def apply(
        self,
        channel: link.Channel,
        sender: str,
        states: list[wire.MemberState],
        teams: list[wire.TeamState],
    ) -> bool:
        """Applies records of a peer; updates go on to the other neighbours.

        Args:
            channel: Channel on which they arrived.
            sender: Name of the peer.
            states: State records of members.
            teams: Settings revisions that the peer has.

        Returns:
            True if any state record changed the member table.
        """
        self._sender = sender
        self.last_channel = channel
        try:
            changes = [
                self._members.apply_state(s, f"reported by {sender}")
                for s in states
            ]
        finally:
            self._sender = ""
        if teams and self._on_teams is not None:
            self._on_teams(channel, teams)
        return any(changes)

    async def run(self) -> None:
        """Sends pending updates until cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep(FLUSH_DELAY_S)
            self._wake.clear()
            self.flush()

    def flush(self) -> None:
        """Sends one message of pending updates to each neighbour."""
        channels = self._neighbours.channels()
        for name, pending in list(self._pending.items()):
            channel = channels.get(name)
            if channel is None or self._send(channel, pending):
                self._pending.pop(name, None)
            else:
                self._wake.set()

    def _send(self, channel: link.Channel, pending: _Pending) -> bool:
        names = list(pending.members)[:_MAX_RECORDS]
        teams = list(pending.teams)[:_MAX_RECORDS]
        states = [r for n in names if (r := self._members.state_record(n))]
        message = wire.Gossip(
            self._members.own.name,
            states,
            [self._team_state(team) for team in teams],
        )
        if not channel.send(message):
            return False
        pending.members.difference_update(names)
        pending.teams.difference_update(teams)
        return not pending.members and not pending.teams
