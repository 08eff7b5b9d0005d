"""Fetches full member records whose digests arrived by gossip."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import gossip
    from sardinedoor_node.membership import neighbours
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

_POLL_PERIOD_S = 0.05
_REPLY_TIMEOUT_S = 0.5
_MAX_NAMES = 100


class MemberFetcher:
    """Requests full member records in batches, from one neighbour at a time.

    Gossip carries only the digest of a full record (`wire.Member`).
    """

    def __init__(
        self,
        members: table.MemberTable,
        neighbour_set: neighbours.Neighbours,
        gossiper: gossip.Gossip,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Subscribes to changes of the member table.

        Args:
            members: The member table.
            neighbour_set: The neighbours that can be asked.
            gossiper: Knows the peer that sent state records last, which is
                asked first because it is likely to have the full ones.
            time: Clock.
            rng: Chooses among neighbours.
        """
        self._members = members
        self._neighbours = neighbour_set
        self._gossip = gossiper
        self._clock = time
        self._rng = rng
        self._missing: set[str] = set()
        self._requested: set[str] = set()
        self._wake = asyncio.Event()
        members.on_change(self._on_change)

    def _on_change(self, entry: table.Entry) -> None:
        if entry.outdated:
            self._missing.add(entry.name)
            self._wake.set()
        else:
            self._missing.discard(entry.name)
            self._requested.discard(entry.name)

    async def run(self) -> None:
        """Fetches missing records until cancelled."""
        while True:
            await self._wake.wait()
            while self._missing:
                await self._clock.sleep(_POLL_PERIOD_S)
                await self._fetch()
            self._wake.clear()

    async def _fetch(self) -> None:
        names = sorted(self._missing)[:_MAX_NAMES]
        if not names:
            return
        channel = self._select_channel(names)
        self._requested.update(names)
        if channel is None or not channel.send(wire.MemberPull(names)):
            return
        end = self._clock.monotonic() + _REPLY_TIMEOUT_S
        while self._clock.monotonic() < end:
            await self._clock.sleep(_POLL_PERIOD_S / 2)
            if self._missing.isdisjoint(names):
                return

    def _select_channel(self, names: list[str]) -> link.Channel | None:
        if not self._requested.issuperset(names):
            return self._gossip.last_channel
        channels = list(self._neighbours.channels().values())
        return self._rng.choice(channels) if channels else None

    def on_pull(self, channel: link.Channel, pull: wire.MemberPull) -> None:
        """Replies with those requested records that this node has."""
        entries = [self._members.entries.get(n) for n in pull.names]
        bodies = [
            e.member
            for e in entries[:_MAX_NAMES]
            if e is not None and e.member is not None
        ]
        channel.send(wire.MemberBodies(bodies))

    def on_bodies(
        self, channel: link.Channel, message: wire.MemberBodies
    ) -> None:
        """Stores the received records that match the advertised digests."""
        del channel
        for member in message.members:
            self._members.store_member(member)
