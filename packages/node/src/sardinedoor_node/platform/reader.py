"""Watches the platform and feeds what it says to the node."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import result

    from sardinedoor_node.platform import client
    from sardinedoor_node.platform import election
    from sardinedoor_node.platform import listing
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks
    from sardinedoor_schema.generated import platform

logger = logging.getLogger(__name__)

WATCH_S = 30.0
SPREAD_S = 0.2
_IDLE_S = 1.0
_LIST_GAP_S = 1.0
_BACKOFF_MIN_S = 0.2
_BACKOFF_MAX_S = 30.0
_MAX_FETCHES = 4


class Backoff:
    """Doubles the time between tries, up to a cap, with jitter."""

    def __init__(self, time: clock.Clock, rng: random.Random):
        self._clock = time
        self._rng = rng
        self._delay_s = _BACKOFF_MIN_S

    def reset(self) -> None:
        """Begins again with the shortest time."""
        self._delay_s = _BACKOFF_MIN_S

    async def wait(self) -> None:
        """Waits, and doubles the next time."""
        await self._clock.sleep(self._delay_s * self._rng.uniform(0.5, 1.5))
        self._delay_s = min(self._delay_s * 2, _BACKOFF_MAX_S)


class Reader:
    """One watch for the settings, one for the instances of the domain."""

    def __init__(
        self,
        platform_client: client.PlatformClient,
        settings_store: store.SettingsStore,
        instances: listing.Listing,
        rank: election.ReaderRank,
        on_read: Callable[[], None],
        failure_domain: str,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Prepares; nothing is read yet.

        Args:
            platform_client: Reads.
            settings_store: Takes the settings.
            instances: Takes the lists of instances.
            rank: Tells whether this node is to read.
            on_read: Called for each answer of the platform.
            failure_domain: Domain of the node.
            time: Clock.
            rng: Spreads the calls of many nodes over time.
            group: Runs the fetches of subtrees.
        """
        self._client = platform_client
        self._store = settings_store
        self._listing = instances
        self._rank = rank
        self._on_read = on_read
        self._domain = failure_domain
        self._clock = time
        self._rng = rng
        self._tasks = group
        self._fetches = asyncio.Semaphore(_MAX_FETCHES)
        self._newest: dict[str, int] = {}
        self.last_error = ""

    @property
    def revisions(self) -> dict[str, int]:
        """Newest revision that the platform named to this node, by team."""
        return self._newest

    @property
    def behind(self) -> list[str]:
        """Teams whose revision at the platform is lower than in force."""
        return [
            team
            for team, revision in self._newest.items()
            if revision < self._store.revision(team)
        ]

    async def watch_settings(self) -> None:
        """Follows the settings, while this node is a reader."""

        async def ask(index: int):
            return await self._client.settings_index(index, WATCH_S)

        async def take(found: platform.SettingsIndex) -> None:
            self.fetch_newer(found)

        await self._watch(ask, take)

    def fetch_newer(self, index: platform.SettingsIndex) -> None:
        """Starts to fetch each subtree that is newer at the platform."""
        for team in index.teams:
            fetching = self._newest.get(team.team) == team.revision
            self._newest[team.team] = team.revision
            if not fetching and team.revision > self._store.newest_revision(
                team.team
            ):
                self._tasks.spawn(
                    self._fetch(team.team, team.revision), f"fetch-{team.team}"
                )

    async def _fetch(self, team: str, revision: int) -> None:
        backoff = Backoff(self._clock, self._rng)
        await self._clock.sleep(self._rng.uniform(0, SPREAD_S))
        while (
            self._newest[team] == revision
            and self._store.newest_revision(team) < revision
        ):
            async with self._fetches:
                body = await self._client.subtree(team)
                if body.is_ok():
                    await self._store.apply_in_slices(body.unwrap())
            if self._store.newest_revision(team) < revision:
                await backoff.wait()

    async def watch_instances(self) -> None:
        """Follows the list of instances, while this node is a reader."""

        async def ask(index: int):
            return await self._client.instances(index, WATCH_S, self._domain)

        async def take(found: platform.InstanceList) -> None:
            self._listing.take(found.instances)
            self._listing.tick()
            await self._clock.sleep(_LIST_GAP_S * self._rng.uniform(0.5, 1.0))

        await self._watch(ask, take)

    async def _watch(
        self,
        ask: Callable[[int], Awaitable[result.Result]],
        take: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Asks for what is newer than the last index, until cancelled."""
        index = 0
        backoff = Backoff(self._clock, self._rng)
        while True:
            if not self._rank.is_reader():
                await self._clock.sleep(_IDLE_S * self._rng.uniform(0.5, 1.5))
                continue
            answer = await ask(index)
            if answer.is_err():
                self._failed(answer.unwrap_err())
                await backoff.wait()
                continue
            backoff.reset()
            self._succeeded()
            index = answer.unwrap().index
            await take(answer.unwrap())

    def _failed(self, error: str) -> None:
        if error != self.last_error:
            logger.warning("platform not read", extra={"reason": error})
        self.last_error = error

    def _succeeded(self) -> None:
        self.last_error = ""
        self._on_read()
