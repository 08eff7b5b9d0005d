"""From an empty process to a node that may serve."""

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

PEERS_ASKED = 5
READ_S = 2.0
SETTLE_S = 20.0
_POLL_S = 0.05
_DIRECT_READ_MIN_S = 3.0
_DIRECT_READ_MAX_S = 8.0


class Boot:
    """Collects settings from peers and the platform before serving."""

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
        """Prepares; nothing is asked yet.

        Args:
            seeds: Link addresses of peers from the node's own settings.
            members: The table.
            settings_store: The settings.
            membership: Asks peers.
            transport: Opens links.
            platform_client: Reads the platform.
            time: Clock.
            rng: Chooses peers.
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

    async def run(self, start_readers: Callable[[], None]) -> None:
        """Returns when the node may serve.

        Args:
            start_readers: Called once the list of instances was asked for,
                by which nodes know whether they are to read.
        """
        backoff = platform_reader.Backoff(self._clock, self._rng)
        index = await self._read_platform()
        start_readers()
        while True:
            refusal = await self._attempt(index)
            if not refusal:
                break
            if refusal != self.state:
                logger.warning("can't serve yet", extra={"reason": refusal})
            self.state = refusal
            await backoff.wait()
            index = await self._read_platform()
        self.state = "serving"

    async def _attempt(self, index: platform.SettingsIndex | None) -> str:
        """Asks peers once.

        Args:
            index: What the platform said; None if it didn't answer.

        Returns:
            Why the node may not serve yet; empty if it may.
        """
        replies = await self._ask_peers()
        serving = [reply for reply in replies if reply.serving]
        if index is None and not serving:
            return "neither the platform nor a serving peer answers"
        if not replies and not self._listed_alone():
            return "no peer confirms the platform's revisions"
        await self._settle(_platform_revisions(index), index is not None)
        await self._settle(_peer_revisions(replies), False)
        lacking = self._lacking(_peer_revisions(replies))
        if lacking:
            return f"settings not fetched yet: {', '.join(lacking)}"
        return ""

    async def _read_platform(self) -> platform.SettingsIndex | None:
        index, instances = await asyncio.gather(
            self._within(self._client.settings_index(0, 0)),
            self._within(self._client.instances(0, 0)),
        )
        if instances is not None:
            for instance in instances.instances:
                self._members.mark_listed(instance)
        if index is not None:
            self._membership.pinger.record_platform_read()
        return index

    async def _within(self, call):
        try:
            async with asyncio.timeout(READ_S):
                answer = await call
        except TimeoutError:
            return None
        return answer.unwrap_or(None)

    def _listed_alone(self) -> bool:
        own = self._members.entries[self._members.own.name]
        return own.listed and not self._members.peers()

    async def _ask_peers(self) -> list[wire.Sync]:
        addresses = [*self._seeds, *self._peer_addresses()]
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
                READ_S, self._disconnect, list(channels)
            )

    def _disconnect(self, names: list[str]) -> None:
        for name in names:
            self._transport.disconnect(name)

    def _peer_addresses(self) -> list[str]:
        """Chooses peers in as many failure domains as possible."""
        peers = [p for p in self._members.peers() if p.link]
        self._rng.shuffle(peers)
        seen: dict[str, int] = {}
        ranked = []
        for peer in peers:
            turn = seen.get(peer.failure_domain, 0)
            seen[peer.failure_domain] = turn + 1
            ranked.append((turn, peer.link))
        ranked.sort(key=lambda pair: pair[0])
        return [address for _, address in ranked[:PEERS_ASKED]]

    async def _settle(self, required: dict[str, int], may_read: bool) -> None:
        """Waits for revisions, and after a while reads them directly.

        Args:
            required: Revision by team.
            may_read: Whether the platform may be read.
        """
        start = self._clock.monotonic()
        direct = start + self._rng.uniform(
            _DIRECT_READ_MIN_S, _DIRECT_READ_MAX_S
        )
        while self._lacking(required):
            now = self._clock.monotonic()
            if now - start > SETTLE_S:
                return
            await self._clock.sleep(_POLL_S)
            if may_read and now > direct:
                direct = now + _DIRECT_READ_MAX_S
                await self._read_lacking(required)

    def _lacking(self, required: dict[str, int]) -> list[str]:
        return [
            team
            for team, revision in required.items()
            if self._store.newest_revision(team) < revision
        ]

    async def _read_lacking(self, required: dict[str, int]) -> None:
        for team in self._lacking(required):
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
