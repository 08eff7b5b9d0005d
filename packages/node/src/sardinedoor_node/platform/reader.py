"""Long polls of the platform for settings and instances."""

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

LONG_POLL_S = 30.0
MAX_FETCH_JITTER_S = 0.2
_ELECTION_INTERVAL_S = 1.0
_LIST_INTERVAL_S = 1.0
_BACKOFF_MIN_S = 0.2
_BACKOFF_MAX_S = 30.0
_MAX_CONCURRENT_FETCHES = 4


class Backoff:
    """Exponential backoff with jitter and an upper limit."""

    def __init__(self, time: clock.Clock, rng: random.Random):
        self._clock = time
        self._rng = rng
        self._delay_s = _BACKOFF_MIN_S

    def reset(self) -> None:
        """Resets the delay to its minimum."""
        self._delay_s = _BACKOFF_MIN_S

    async def wait(self) -> None:
        """Sleeps for the delay with jitter, then doubles the delay."""
        await self._clock.sleep(self._delay_s * self._rng.uniform(0.5, 1.5))
        self._delay_s = min(self._delay_s * 2, _BACKOFF_MAX_S)


class Reader:
    """Long-polls the settings and the list of instances while it is a reader.

    Attributes:
        last_error: Why the last poll failed; empty if it succeeded.
    """

    def __init__(
        self,
        platform_client: client.PlatformClient,
        settings_store: store.SettingsStore,
        instance_tracker: listing.InstanceTracker,
        reader_election: election.ReaderElection,
        on_read: Callable[[], None],
        failure_domain: str,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Stores the collaborators; sends nothing.

        Args:
            platform_client: Client of the platform.
            settings_store: Store that receives the settings.
            instance_tracker: Receives the lists of instances.
            reader_election: Decides whether this node is a reader.
            on_read: Called after each successful poll.
            failure_domain: Failure domain of the node.
            time: The clock.
            rng: Source of the jitter, which spreads the requests of many nodes
                over time.
            group: Runs the fetches of subtrees.
        """
        self._client = platform_client
        self._store = settings_store
        self._instance_tracker = instance_tracker
        self._election = reader_election
        self._on_read = on_read
        self._failure_domain = failure_domain
        self._clock = time
        self._rng = rng
        self._tasks = group
        self._fetches = asyncio.Semaphore(_MAX_CONCURRENT_FETCHES)
        self._platform_revisions: dict[str, int] = {}
        self.last_error = ""

    @property
    def platform_revisions(self) -> dict[str, int]:
        """Revision by team in the index that this node read last."""
        return self._platform_revisions

    @property
    def teams_behind(self) -> list[str]:
        """Teams whose revision at the platform is older than the one in use."""
        return [
            team
            for team, revision in self._platform_revisions.items()
            if revision < self._store.revision(team)
        ]

    async def poll_settings(self) -> None:
        """Long-polls the index of settings until cancelled."""

        async def request(index: int):
            return await self._client.settings_index(index, LONG_POLL_S)

        async def handle(reply: platform.SettingsIndex) -> None:
            self.fetch_newer(reply)

        await self._poll(request, handle)

    def fetch_newer(self, index: platform.SettingsIndex) -> None:
        """Starts a fetch of each subtree that is newer than in the store."""
        for team in index.teams:
            is_fetching = (
                self._platform_revisions.get(team.team) == team.revision
            )
            self._platform_revisions[team.team] = team.revision
            if not is_fetching and team.revision > self._store.newest_revision(
                team.team
            ):
                self._tasks.spawn(
                    self._fetch(team.team, team.revision), f"fetch-{team.team}"
                )

    async def _fetch(self, team: str, revision: int) -> None:
        backoff = Backoff(self._clock, self._rng)
        await self._clock.sleep(self._rng.uniform(0, MAX_FETCH_JITTER_S))
        while (
            self._platform_revisions[team] == revision
            and self._store.newest_revision(team) < revision
        ):
            async with self._fetches:
                body = await self._client.subtree(team)
                if body.is_ok():
                    await self._store.apply_in_slices(body.unwrap())
            if self._store.newest_revision(team) < revision:
                await backoff.wait()

    async def poll_instances(self) -> None:
        """Long-polls the list of instances until cancelled."""

        async def request(index: int):
            return await self._client.instances(
                index, LONG_POLL_S, self._failure_domain
            )

        async def handle(reply: platform.InstanceList) -> None:
            self._instance_tracker.apply(reply.instances)
            self._instance_tracker.tick()
            await self._clock.sleep(
                _LIST_INTERVAL_S * self._rng.uniform(0.5, 1.0)
            )

        await self._poll(request, handle)

    async def _poll(
        self,
        request: Callable[[int], Awaitable[result.Result]],
        handle: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Polls with the last index until cancelled, if this node is a reader.

        Args:
            request: Sends a long poll for an index higher than the given one.
            handle: Handles a successful reply.
        """
        index = 0
        backoff = Backoff(self._clock, self._rng)
        while True:
            if not self._election.is_reader():
                await self._clock.sleep(
                    _ELECTION_INTERVAL_S * self._rng.uniform(0.5, 1.5)
                )
                continue
            reply = await request(index)
            if reply.is_err():
                self._record_failure(reply.unwrap_err())
                await backoff.wait()
                continue
            backoff.reset()
            self._record_success()
            index = reply.unwrap().index
            await handle(reply.unwrap())

    def _record_failure(self, error: str) -> None:
        if error != self.last_error:
            logger.warning("platform not read", extra={"reason": error})
        self.last_error = error

    def _record_success(self) -> None:
        self.last_error = ""
        self._on_read()
