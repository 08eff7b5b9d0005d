"""Fetches settings that peers advertise, each body once."""

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

_REPLY_S = 1.0
_ATTEMPTS = 4
_ID_BYTES = 8


class SettingsSpread:
    """Tells neighbours what is held here, and fetches what is newer there."""

    def __init__(
        self,
        settings_store: store.SettingsStore,
        near: neighbours.Neighbours,
        spread: gossip.Gossip,
        rng: random.Random,
    ):
        """Follows the store and what peers advertise.

        Args:
            settings_store: The settings.
            near: The links.
            spread: Carries the revisions.
            rng: Chooses among neighbours.
        """
        self._store = settings_store
        self._near = near
        self._rng = rng
        self._wanted: dict[str, link.Channel] = {}
        self._wake = asyncio.Event()
        self._waiting: dict[bytes, asyncio.Future] = {}
        settings_store.on_seen(spread.announce_team)
        spread.on_teams(self.on_teams)

    def on_teams(
        self, channel: link.Channel, teams: list[wire.TeamState]
    ) -> None:
        """Notes what a peer holds."""
        for state in teams:
            if self._store.lacks(state):
                self._wanted[state.team] = channel
                self._wake.set()

    async def run(self) -> None:
        """Fetches until cancelled, one team after the other."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._wanted:
                team = next(iter(self._wanted))
                channel = self._wanted.pop(team)
                await self._fetch(team, channel)

    async def _fetch(self, team: str, channel: link.Channel) -> None:
        for _ in range(_ATTEMPTS):
            reply = await self._ask(team, channel)
            if reply is not None:
                await self._take(reply)
                return
            others = list(self._near.channels().values())
            if others:
                channel = self._rng.choice(others)

    async def _ask(
        self, team: str, channel: link.Channel
    ) -> wire.SettingsBodies | None:
        state = self._store.state(team)
        pull = wire.SettingsPull(
            secrets.token_bytes(_ID_BYTES), team, state.revision, state.refused
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[pull.id] = future
        try:
            async with asyncio.timeout(_REPLY_S):
                if not channel.send(pull):
                    return None
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(pull.id, None)

    async def _take(self, reply: wire.SettingsBodies) -> None:
        for body in reply.bodies:
            try:
                subtree = bodies.unpack(body)
            except bodies.BodyError as e:
                logger.warning(
                    "settings body dropped",
                    extra={"team": body.team, "reason": str(e)},
                )
                continue
            await self._store.take(subtree)

    def on_pull(self, channel: link.Channel, pull: wire.SettingsPull) -> None:
        """Answers with the bodies that the peer lacks."""
        found = self._store.bodies(pull.team, pull.revision, pull.refused)
        channel.send(wire.SettingsBodies(pull.id, found))

    def on_bodies(
        self, channel: link.Channel, reply: wire.SettingsBodies
    ) -> None:
        """Hands an answer to the fetch that waits for it."""
        del channel
        future = self._waiting.get(reply.id)
        if future is not None and not future.done():
            future.set_result(reply)
