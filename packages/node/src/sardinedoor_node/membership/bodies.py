"""Fetches the whole records of members that were heard of."""

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

_TICK_S = 0.05
_REPLY_S = 0.5
_MAX_NAMES = 100


class BodyFetcher:
    """Asks one neighbour at a time for a batch of records."""

    def __init__(
        self,
        members: table.MemberTable,
        near: neighbours.Neighbours,
        spread: gossip.Gossip,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Follows the table of members.

        Args:
            members: The table.
            near: The links.
            spread: Knows who told news last, and so has the record.
            time: Clock.
            rng: Chooses among neighbours.
        """
        self._members = members
        self._near = near
        self._gossip = spread
        self._clock = time
        self._rng = rng
        self._wanted: set[str] = set()
        self._asked: set[str] = set()
        self._wake = asyncio.Event()
        members.on_change(self._on_change)

    def _on_change(self, entry: table.Entry) -> None:
        if entry.outdated:
            self._wanted.add(entry.name)
            self._wake.set()
        else:
            self._wanted.discard(entry.name)
            self._asked.discard(entry.name)

    async def run(self) -> None:
        """Fetches until cancelled."""
        while True:
            await self._wake.wait()
            while self._wanted:
                await self._clock.sleep(_TICK_S)
                await self._fetch()
            self._wake.clear()

    async def _fetch(self) -> None:
        names = sorted(self._wanted)[:_MAX_NAMES]
        if not names:
            return
        channel = self._source(names)
        self._asked.update(names)
        if channel is None or not channel.send(wire.MemberPull(names)):
            return
        end = self._clock.monotonic() + _REPLY_S
        while self._clock.monotonic() < end:
            await self._clock.sleep(_TICK_S / 2)
            if self._wanted.isdisjoint(names):
                return

    def _source(self, names: list[str]) -> link.Channel | None:
        if not self._asked.issuperset(names):
            return self._gossip.last_channel
        channels = list(self._near.channels().values())
        return self._rng.choice(channels) if channels else None

    def on_pull(self, channel: link.Channel, pull: wire.MemberPull) -> None:
        """Answers with the records at hand."""
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
        """Takes records; those that don't match what was told are ignored."""
        del channel
        for member in message.members:
            self._members.complete(member)
