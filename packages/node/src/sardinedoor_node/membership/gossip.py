"""Spreads news of members and settings over the active links."""

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

FLUSH_S = 0.05
_MAX_RECORDS = 200

TeamsReceiver = "Callable[[link.Channel, list[wire.TeamState]], None]"


@dataclasses.dataclass(slots=True)
class _Pending:
    members: set[str] = dataclasses.field(default_factory=set)
    teams: set[str] = dataclasses.field(default_factory=set)


class Gossip:
    """Sends each piece of news once over each link, but not back.

    Only names are queued; what is sent is the newest belief at that time.
    """

    def __init__(
        self,
        members: table.MemberTable,
        near: neighbours.Neighbours,
        team_state: Callable[[str], wire.TeamState],
        time: clock.Clock,
    ):
        """Follows the table of members.

        Args:
            members: The table.
            near: The links.
            team_state: Returns the revisions of a team held here.
            time: Clock.
        """
        self._members = members
        self._near = near
        self._team_state = team_state
        self._clock = time
        self._pending: dict[str, _Pending] = {}
        self._wake = asyncio.Event()
        self._source = ""
        self._on_teams: TeamsReceiver | None = None
        self.last_channel: link.Channel | None = None
        members.on_news(self._on_member)

    def on_teams(self, receiver: TeamsReceiver) -> None:
        """Registers the receiver of revisions that peers hold."""
        self._on_teams = receiver

    def _on_member(self, name: str) -> None:
        for pending in self._receivers():
            pending.members.add(name)

    def spread_team(self, team: str) -> None:
        """Tells neighbours which revisions of a team are held here."""
        for pending in self._receivers():
            pending.teams.add(team)

    def _receivers(self) -> list[_Pending]:
        self._wake.set()
        return [
            self._pending.setdefault(name, _Pending())
            for name in self._near.channels()
            if name != self._source
        ]

    def on_message(self, channel: link.Channel, message: wire.Gossip) -> None:
        """Takes news from a peer."""
        self.take(channel, message.sender, message.states, message.teams)

    def take(
        self,
        channel: link.Channel,
        sender: str,
        states: list[wire.MemberState],
        teams: list[wire.TeamState],
    ) -> bool:
        """Takes records; what is new goes on to all other neighbours.

        Args:
            channel: Where they came from.
            sender: Name of the peer.
            states: Records of members.
            teams: Revisions that the peer holds.

        Returns:
            True if any record of a member was news.
        """
        self._source = sender
        self.last_channel = channel
        try:
            news = [self._members.apply(s, f"told by {sender}") for s in states]
        finally:
            self._source = ""
        if teams and self._on_teams is not None:
            self._on_teams(channel, teams)
        return any(news)

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep(FLUSH_S)
            self._wake.clear()
            self.flush()

    def flush(self) -> None:
        """Sends what is pending."""
        channels = self._near.channels()
        for name, pending in list(self._pending.items()):
            channel = channels.get(name)
            if channel is None or self._send(channel, pending):
                self._pending.pop(name, None)
            else:
                self._wake.set()

    def _send(self, channel: link.Channel, pending: _Pending) -> bool:
        names = list(pending.members)[:_MAX_RECORDS]
        teams = list(pending.teams)[:_MAX_RECORDS]
        states = [r for n in names if (r := self._members.record(n))]
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
