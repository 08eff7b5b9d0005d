"""Watches a few members, and says which of them are alive."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from sardinedoor_node import membership
from sardinedoor_node.membership import pings
from sardinedoor_node.membership import records
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import lag
    from sardinedoor_node.membership import neighbours
    from sardinedoor_node.membership import sync
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

logger = logging.getLogger(__name__)

PERIOD_S = 1.0
SUSPICION_S = 2.5
HELPERS = 3
REVISIT_S = 5.0
FORGET_TICK_S = 30.0
_ALONE_MISSES = 3
_TICK_S = 0.25


class Prober:
    """One task for each watched member, and one for the suspicions."""

    def __init__(
        self,
        members: table.MemberTable,
        near: neighbours.Neighbours,
        pinger: pings.Pinger,
        exchange: sync.Sync,
        guard: lag.LagGuard,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Prepares; nothing runs yet.

        Args:
            members: The table.
            near: The links.
            pinger: Sends pings.
            exchange: Refreshes beliefs after a pause.
            guard: Tells of pauses of this process.
            time: Clock.
            rng: Spreads pings over time and chooses helpers.
            group: Runs the tasks.
        """
        self._members = members
        self._near = near
        self._pinger = pinger
        self._sync = exchange
        self._clock = time
        self._rng = rng
        self._tasks = group
        self._watches: dict[str, asyncio.Task] = {}
        self._suspects: dict[str, float] = {}
        self._gaps = 0
        self._guard = guard
        guard.on_gap(self._on_gap)
        members.on_change(self._on_change)

    async def run(self) -> None:
        """Runs until cancelled."""
        self._tasks.spawn(self._revisit_dead(), "revisit")
        self._tasks.spawn(self._forget(), "forget")
        while True:
            self._guard.check()
            self._follow_rings()
            self._expire()
            await self._clock.sleep(_TICK_S)

    def _follow_rings(self) -> None:
        wanted = set(self._near.watched())
        for name, task in list(self._watches.items()):
            if task.done():
                del self._watches[name]
        for name in set(self._watches) - wanted:
            self._watches.pop(name).cancel()
            self._near.reopen(name)
        for name in wanted - set(self._watches):
            task = self._tasks.spawn(self._watch(name), f"watch-{name}")
            self._watches[name] = task

    async def _watch(self, name: str) -> None:
        misses = 0
        await self._clock.sleep(self._rng.uniform(0, PERIOD_S / 2))
        while True:
            misses = 0 if await self._probe(name, misses) else misses + 1
            await self._clock.sleep(PERIOD_S * self._rng.uniform(0.9, 1.1))

    async def _probe(self, name: str, misses: int) -> bool:
        entry = self._members.entries.get(name)
        if entry is None:
            return True
        gaps = self._gaps
        channel = self._near.channel(name)
        if await self._pinger.ping(name, channel):
            self._answered(entry, channel)
            return True
        # A connection that went silent is no evidence against the member.
        self._near.reopen(name)
        fresh, answer = await asyncio.gather(
            self._pinger.ping_once(name, entry.link), self._ask_helpers(entry)
        )
        if fresh is not None:
            self._answered(entry, fresh)
            return True
        if self._guard.check() or self._gaps != gaps or self._members.stale:
            return True
        self._members.set_reachable(name, False, "no answer to this node")
        if answer is pings.Answer.NACK or (
            self._near.live == 1 and misses + 1 >= _ALONE_MISSES
        ):
            self._accuse(entry, membership.State.SUSPECT, "no answer to pings")
        return False

    async def _ask_helpers(self, entry: table.Entry) -> pings.Answer:
        channels = self._near.channels()
        channels.pop(entry.name, None)
        usable = [
            channel
            for name, channel in channels.items()
            if self._state(name) is membership.State.ALIVE
        ]
        chosen = self._rng.sample(usable, min(HELPERS, len(usable)))
        return await self._pinger.ask_helpers(entry.name, entry.link, chosen)

    def _state(self, name: str) -> membership.State:
        entry = self._members.entries.get(name)
        return entry.state if entry else membership.State.DEAD

    def _answered(self, entry: table.Entry, channel: link.Channel) -> None:
        self._members.set_reachable(entry.name, True, "answers pings")
        if entry.state is not membership.State.ALIVE and entry.incarnation:
            # Only the member itself may refute what is believed of it.
            state = records.from_entry(entry)
            channel.send(wire.Gossip(self._members.own.name, [state]))

    def _accuse(
        self, entry: table.Entry, state: membership.State, reason: str
    ) -> None:
        record = records.from_entry(entry)
        record.state = int(state)
        if self._members.apply(record, reason):
            logger.info(
                "member accused",
                extra={"member": entry.name, "state": state.name},
            )

    def _on_change(self, entry: table.Entry) -> None:
        if entry.state is not membership.State.SUSPECT:
            self._suspects.pop(entry.name, None)
        elif entry.name not in self._suspects:
            end = self._clock.monotonic() + SUSPICION_S
            self._suspects[entry.name] = end

    def _expire(self) -> None:
        if self._members.stale:
            return
        now = self._clock.monotonic()
        due = [name for name, end in self._suspects.items() if end <= now]
        for name in due:
            entry = self._members.entries[name]
            self._accuse(
                entry, membership.State.DEAD, "suspicion was not refuted"
            )

    def _on_gap(self, gap_s: float) -> None:
        """Makes old what was believed before a pause."""
        logger.warning("paused", extra={"gap_s": round(gap_s, 3)})
        self._gaps += 1
        for name in self._suspects:
            self._suspects[name] = self._clock.monotonic() + SUSPICION_S
        if not self._members.stale:
            self._members.stale = True
            self._tasks.spawn(self._refresh(), "refresh")

    async def _refresh(self) -> None:
        try:
            for channel in list(self._near.channels().values()):
                if await self._sync.exchange(channel) is not None:
                    break
        finally:
            self._members.stale = False

    async def _forget(self) -> None:
        while True:
            await self._clock.sleep(FORGET_TICK_S)
            self._members.expire()

    async def _revisit_dead(self) -> None:
        """Pings the dead now and then, so that partitions heal."""
        while True:
            await self._clock.sleep(REVISIT_S * self._rng.uniform(0.5, 1.5))
            dead = [e for e in self._members.peers() if not e.alive and e.link]
            if not dead:
                continue
            entry = self._rng.choice(dead)
            channel = await self._pinger.ping_once(entry.name, entry.link)
            if channel is not None:
                self._answered(entry, channel)
                await self._sync.exchange(channel)
