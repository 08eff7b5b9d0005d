"""Bootstrapping: fetches the settings that a node needs before it serves."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from sardinedoor_node.platform import reader as platform_reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import link
    from sardinedoor_node.membership import service
    from sardinedoor_node.membership import table
    from sardinedoor_node.platform import client
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)

MAX_PEERS = 5
READ_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_DIRECT_READ_DELAY_MIN_S = 3.0
_DIRECT_READ_DELAY_MAX_S = 8.0


class Bootstrapper:
    """Fetches settings from peers and the platform until the node may serve.

    Attributes:
        state: "starting", then the reason why the node can't serve yet, and
            finally "serving".
    """

    def __init__(
        self,
        seeds: list[str],
        members: table.MemberTable,
        settings_store: store.SettingsStore,
        membership: service.Membership,
        transport: link.Transport,
        platform_client: client.PlatformClient,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Stores the collaborators; sends nothing.

        Args:
            seeds: Link addresses of peers from the node's own settings.
            members: The member table.
            settings_store: Store of the fetched settings.
            membership: Runs the anti-entropy exchanges with peers.
            transport: Opens links to peers.
            platform_client: Client of the platform.
            time: The clock.
            rng: Source of randomness.
        """
        self._seeds = seeds
        self._members = members
        self._store = settings_store
        self._membership = membership
        self._transport = transport
        self._client = platform_client
        self._clock = time
        self._rng = rng
        self.state = "starting"

    async def run(self, start_polling: Callable[[], None]) -> None:
        """Retries with backoff, and returns when the node may serve.

        Args:
            start_polling: Starts the long polls of the platform. Called after
                the first attempt to read the list of instances, which the
                election of readers depends on.
        """
        backoff = platform_reader.Backoff(self._clock, self._rng)
        index = await self._read_platform()
        start_polling()
        while True:
            reason = await self._attempt(index)
            if not reason:
                break
            if reason != self.state:
                logger.warning("can't serve yet", extra={"reason": reason})
            self.state = reason
            await backoff.wait()
            index = await self._read_platform()
        self.state = "serving"

    async def _attempt(self, index: platform.SettingsIndex | None) -> str:
        """Syncs with peers once and waits for the settings.

        Args:
            index: The platform's index of settings; None if it wasn't read.

        Returns:
            The reason why the node can't serve yet; empty if it can.
        """
        replies = await self._sync_with_peers()
        serving = [reply for reply in replies if reply.serving]
        if index is None and not serving:
            return "neither the platform nor a serving peer answers"
        if not replies and not self._is_only_listed_member():
            return "no peer confirms the platform's revisions"
        await self._wait_for_revisions(
            _platform_revisions(index), index is not None
        )
        await self._wait_for_revisions(_peer_revisions(replies), False)
        outdated = self._outdated_teams(_peer_revisions(replies))
        if outdated:
            return f"settings not fetched yet: {', '.join(outdated)}"
        return ""

    async def _read_platform(self) -> platform.SettingsIndex | None:
        index, instances = await asyncio.gather(
            self._call_with_timeout(self._client.settings_index(0, 0)),
            self._call_with_timeout(self._client.instances(0, 0)),
        )
        if instances is not None:
            for instance in instances.instances:
                self._members.mark_listed(instance)
        if index is not None:
            self._membership.pinger.record_platform_read()
        return index

    async def _call_with_timeout(self, request):
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                reply = await request
        except TimeoutError:
            return None
        return reply.unwrap_or(None)

    def _is_only_listed_member(self) -> bool:
        own = self._members.entries[self._members.own.name]
        return own.listed and not self._members.peers()

    async def _sync_with_peers(self) -> list[wire.Sync]:
        addresses = [*self._seeds, *self._choose_peer_addresses()]
        addresses = [a for a in addresses if a != self._members.own.link]
        channels = {
            f"boot/{address}": self._transport.connect(
                f"boot/{address}", address
            )
            for address in dict.fromkeys(addresses)
        }
        exchange = self._membership.anti_entropy.exchange
        try:
            replies = await asyncio.gather(
                *(exchange(channel) for channel in channels.values())
            )
            return [reply for reply in replies if reply is not None]
        finally:
            asyncio.get_running_loop().call_later(
                READ_TIMEOUT_S, self._disconnect, list(channels)
            )

    def _disconnect(self, names: list[str]) -> None:
        for name in names:
            self._transport.disconnect(name)

    def _choose_peer_addresses(self) -> list[str]:
        """Chooses up to `MAX_PEERS` peers, spread over failure domains."""
        peers = [p for p in self._members.peers() if p.link]
        self._rng.shuffle(peers)
        chosen_by_domain: dict[str, int] = {}
        ranked = []
        for peer in peers:
            position = chosen_by_domain.get(peer.failure_domain, 0)
            chosen_by_domain[peer.failure_domain] = position + 1
            ranked.append((position, peer.link))
        ranked.sort(key=lambda pair: pair[0])
        return [address for _, address in ranked[:MAX_PEERS]]

    async def _wait_for_revisions(
        self, required: dict[str, int], may_read: bool
    ) -> None:
        """Waits until the store has the required revisions or a timeout ends.

        Args:
            required: Lowest sufficient revision by team.
            may_read: Whether subtrees that are still missing after a random
                delay may be read from the platform directly.
        """
        started_at = self._clock.monotonic()
        direct_read_at = started_at + self._rng.uniform(
            _DIRECT_READ_DELAY_MIN_S, _DIRECT_READ_DELAY_MAX_S
        )
        while self._outdated_teams(required):
            now = self._clock.monotonic()
            if now - started_at > FETCH_TIMEOUT_S:
                return
            await self._clock.sleep(_POLL_INTERVAL_S)
            if may_read and now > direct_read_at:
                direct_read_at = now + _DIRECT_READ_DELAY_MAX_S
                await self._fetch_outdated(required)

    def _outdated_teams(self, required: dict[str, int]) -> list[str]:
        return [
            team
            for team, revision in required.items()
            if self._store.newest_revision(team) < revision
        ]

    async def _fetch_outdated(self, required: dict[str, int]) -> None:
        for team in self._outdated_teams(required):
            body = await self._client.subtree(team)
            if body.is_ok():
                await self._store.apply_in_slices(body.unwrap())


def _platform_revisions(
    index: platform.SettingsIndex | None,
) -> dict[str, int]:
    if index is None:
        return {}
    return {team.team: team.revision for team in index.teams}


def _peer_revisions(replies: list[wire.Sync]) -> dict[str, int]:
    required: dict[str, int] = {}
    for reply in replies:
        for state in reply.teams:
            newest = max(state.revision, state.refused)
            required[state.team] = max(required.get(state.team, 0), newest)
    return required
