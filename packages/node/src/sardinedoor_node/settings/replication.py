"""Replicates the teams' settings between nodes.

Gossip carries the revisions; the bodies are pulled.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node.settings import bodies
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import gossip
    from sardinedoor_node.membership import neighbours
    from sardinedoor_node.settings import store

logger = logging.getLogger(__name__)

_REPLY_TIMEOUT_S = 1.0
_ATTEMPTS = 4
_ID_BYTES = 8


class SettingsReplicator:
    """Advertises this node's revisions and pulls newer ones from peers."""

    def __init__(
        self,
        settings_store: store.SettingsStore,
        peer_links: neighbours.Neighbours,
        team_gossip: gossip.Gossip,
        rng: random.Random,
    ):
        """Registers with the store and the gossip.

        Args:
            settings_store: Store that is replicated.
            peer_links: Links to peers that bodies can be pulled from.
            team_gossip: Carries the revisions.
            rng: Chooses the next peer when a pull failed.
        """
        self._store = settings_store
        self._neighbours = peer_links
        self._rng = rng
        self._sources: dict[str, link.Channel] = {}
        self._fetch_needed = asyncio.Event()
        self._pending_replies: dict[bytes, asyncio.Future] = {}
        settings_store.on_revision(team_gossip.announce_team)
        team_gossip.on_teams(self.on_teams)

    def on_teams(
        self, channel: link.Channel, teams: list[wire.TeamState]
    ) -> None:
        """Schedules a pull for each team of which the peer is ahead."""
        for state in teams:
            if self._store.is_behind(state):
                self._sources[state.team] = channel
                self._fetch_needed.set()

    async def run(self) -> None:
        """Pulls newer settings until cancelled, one team at a time."""
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed.clear()
            while self._sources:
                team = next(iter(self._sources))
                channel = self._sources.pop(team)
                await self._fetch(team, channel)

    async def _fetch(self, team: str, channel: link.Channel) -> None:
        for _ in range(_ATTEMPTS):
            reply = await self._pull(team, channel)
            if reply is not None:
                await self._apply_bodies(reply)
                return
            others = list(self._neighbours.channels().values())
            if others:
                channel = self._rng.choice(others)

    async def _pull(
        self, team: str, channel: link.Channel
    ) -> wire.SettingsBodies | None:
        state = self._store.state(team)
        pull = wire.SettingsPull(
            secrets.token_bytes(_ID_BYTES), team, state.revision, state.refused
        )
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[pull.id] = future
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                if not channel.send(pull):
                    return None
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(pull.id, None)

    async def _apply_bodies(self, reply: wire.SettingsBodies) -> None:
        for body in reply.bodies:
            try:
                subtree = bodies.unpack(body)
            except bodies.BodyError as e:
                logger.warning(
                    "settings body dropped",
                    extra={"team": body.team, "reason": str(e)},
                )
                continue
            await self._store.apply_in_slices(subtree)

    def on_pull(self, channel: link.Channel, pull: wire.SettingsPull) -> None:
        """Replies with the bodies that the peer needs."""
        found = self._store.newer_bodies(pull.team, pull.revision, pull.refused)
        channel.send(wire.SettingsBodies(pull.id, found))

    def on_bodies(
        self, channel: link.Channel, reply: wire.SettingsBodies
    ) -> None:
        """Completes the pull that waits for this reply."""
        del channel
        future = self._pending_replies.get(reply.id)
        if future is not None and not future.done():
            future.set_result(reply)
