"""Watches the platform and feeds what it says to the node."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.membership import table
    from sardinedoor_node.platform import client
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

WATCH_S = 30.0
_BACKOFF_MIN_S = 0.2
_BACKOFF_MAX_S = 10.0


class Reader:
    """One watch for the settings, one for the instances."""

    def __init__(
        self,
        platform_client: client.PlatformClient,
        settings_store: store.SettingsStore,
        members: table.MemberTable,
        time: clock.Clock,
    ):
        self._client = platform_client
        self._store = settings_store
        self._members = members
        self._clock = time
        self.settings_seen = asyncio.Event()

    async def watch_settings(self) -> None:
        """Follows the settings until cancelled."""
        index = 0
        backoff = _BACKOFF_MIN_S
        while True:
            answer = await self._client.settings_index(index, WATCH_S)
            if answer.is_err():
                backoff = await self._wait(backoff)
                continue
            backoff = _BACKOFF_MIN_S
            body = answer.unwrap()
            complete = await self._fetch_newer(body)
            if complete:
                index = body.index
                self.settings_seen.set()
            else:
                await self._wait(_BACKOFF_MIN_S)

    async def _fetch_newer(self, index) -> bool:
        complete = True
        for entry in index.teams:
            if entry.revision <= self._store.revision(entry.team):
                continue
            body = await self._client.subtree(entry.team)
            if body.is_err():
                complete = False
                continue
            self._store.offer(body.unwrap())
        return complete

    async def watch_instances(self) -> None:
        """Follows the list of instances until cancelled."""
        index = 0
        backoff = _BACKOFF_MIN_S
        while True:
            answer = await self._client.instances(index, WATCH_S)
            if answer.is_err():
                backoff = await self._wait(backoff)
                continue
            backoff = _BACKOFF_MIN_S
            body = answer.unwrap()
            index = body.index
            self._members.set_instances(body.instances)

    async def _wait(self, backoff: float) -> float:
        await self._clock.sleep(backoff * random.uniform(0.5, 1.5))
        return min(backoff * 2, _BACKOFF_MAX_S)
