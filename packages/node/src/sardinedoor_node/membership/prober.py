"""Failure detector in the manner of SWIM: pings, suspicion and death."""

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
    from sardinedoor_node.membership import antientropy
    from sardinedoor_node.membership import neighbours
    from sardinedoor_node.membership import pauses
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

logger = logging.getLogger(__name__)

PROBE_PERIOD_S = 1.0
SUSPICION_TIMEOUT_S = 2.5
MAX_HELPERS = 3
DEAD_PING_PERIOD_S = 5.0
CLEAN_UP_PERIOD_S = 30.0
# Failed probes in a row that make the only other live member suspect, for
# which there are no helpers.
_MISSES_WITHOUT_HELPERS = 3
_UPDATE_PERIOD_S = 0.25


class Prober:
    """Pings each monitored member in a task of its own.

    A member that acks neither direct nor indirect pings becomes suspect, and
    dead if it doesn't refute the suspicion in time. It doesn't become suspect
    if no helper answers either: then this node itself may be cut off.
    """

    def __init__(
        self,
        members: table.MemberTable,
        neighbour_set: neighbours.Neighbours,
        pinger: pings.Pinger,
        anti_entropy: antientropy.AntiEntropy,
        pause_detector: pauses.PauseDetector,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Creates a prober; `run` starts its tasks.

        Args:
            members: The member table.
            neighbour_set: The members to ping, and the helpers.
            pinger: Sends pings.
            anti_entropy: Refreshes the member table after a pause.
            pause_detector: Detects pauses of this process, after which missing
                acks are no evidence.
            time: Clock.
            rng: Adds jitter to the periods and chooses helpers.
            group: Runs the tasks.
        """
        self._members = members
        self._neighbours = neighbour_set
        self._pinger = pinger
        self._anti_entropy = anti_entropy
        self._clock = time
        self._rng = rng
        self._tasks = group
        self._probe_tasks: dict[str, asyncio.Task] = {}
        self._suspicion_ends: dict[str, float] = {}
        self._pause_count = 0
        self._pause_detector = pause_detector
        pause_detector.on_pause(self._on_pause)
        members.on_change(self._on_change)

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks.supervise(self._run, "prober")
        self._tasks.supervise(self._ping_dead_members, "revisit")
        self._tasks.supervise(self._clean_up, "forget")

    async def _run(self) -> None:
        while True:
            self._pause_detector.check()
            self._update_probe_tasks()
            self._expire_suspicions()
            await self._clock.sleep(_UPDATE_PERIOD_S)

    def _update_probe_tasks(self) -> None:
        monitored = set(self._neighbours.monitored())
        for name, task in list(self._probe_tasks.items()):
            if task.done():
                del self._probe_tasks[name]
        for name in set(self._probe_tasks) - monitored:
            self._probe_tasks.pop(name).cancel()
            self._neighbours.disconnect(name)
        for name in monitored - set(self._probe_tasks):
            task = self._tasks.spawn(
                self._probe_periodically(name), f"watch-{name}"
            )
            self._probe_tasks[name] = task

    async def _probe_periodically(self, name: str) -> None:
        misses = 0
        await self._clock.sleep(self._rng.uniform(0, PROBE_PERIOD_S / 2))
        while True:
            misses = 0 if await self._probe(name, misses) else misses + 1
            await self._clock.sleep(
                PROBE_PERIOD_S * self._rng.uniform(0.9, 1.1)
            )

    async def _probe(self, name: str, misses: int) -> bool:
        entry = self._members.entries.get(name)
        if entry is None:
            return True
        pause_count = self._pause_count
        channel = self._neighbours.channel(name)
        if await self._pinger.ping(name, channel):
            self._on_answer(entry, channel)
            return True
        # The connection may have failed rather than the member.
        self._neighbours.disconnect(name)
        new_channel, answer = await asyncio.gather(
            self._pinger.ping_over_new_link(name, entry.link),
            self._ping_indirectly(entry),
        )
        if new_channel is not None:
            self._on_answer(entry, new_channel)
            return True
        if (
            self._pause_detector.check()
            or self._pause_count != pause_count
            or self._members.stale
        ):
            return True
        self._members.set_reachable(name, False, "no ack to pings of this node")
        if answer is pings.Answer.NACK or (
            self._neighbours.live_count == 1
            and misses + 1 >= _MISSES_WITHOUT_HELPERS
        ):
            self._report(
                entry,
                membership.State.SUSPECT,
                "no ack to direct and indirect pings",
            )
        return False

    async def _ping_indirectly(self, entry: table.Entry) -> pings.Answer:
        channels = self._neighbours.channels()
        channels.pop(entry.name, None)
        usable = [
            channel
            for name, channel in channels.items()
            if self._state_of(name) is membership.State.ALIVE
        ]
        chosen = self._rng.sample(usable, min(MAX_HELPERS, len(usable)))
        return await self._pinger.ping_indirectly(
            entry.name, entry.link, chosen
        )

    def _state_of(self, name: str) -> membership.State:
        entry = self._members.entries.get(name)
        return entry.state if entry else membership.State.DEAD

    def _on_answer(self, entry: table.Entry, channel: link.Channel) -> None:
        self._members.set_reachable(entry.name, True, "acks pings")
        if entry.state is not membership.State.ALIVE and entry.incarnation:
            # A state is refuted only by the member itself, with a higher
            # version, so the member must learn of it.
            record = records.from_entry(entry)
            channel.send(wire.Gossip(self._members.own.name, [record]))

    def _report(
        self, entry: table.Entry, state: membership.State, reason: str
    ) -> None:
        record = records.from_entry(entry)
        record.state = int(state)
        if self._members.apply_state(record, reason):
            logger.info(
                "member accused",
                extra={"member": entry.name, "state": state.name},
            )

    def _on_change(self, entry: table.Entry) -> None:
        if entry.state is not membership.State.SUSPECT:
            self._suspicion_ends.pop(entry.name, None)
        elif entry.name not in self._suspicion_ends:
            end = self._clock.monotonic() + SUSPICION_TIMEOUT_S
            self._suspicion_ends[entry.name] = end

    def _expire_suspicions(self) -> None:
        if self._members.stale:
            return
        now = self._clock.monotonic()
        due = [name for name, end in self._suspicion_ends.items() if end <= now]
        for name in due:
            entry = self._members.entries[name]
            self._report(
                entry, membership.State.DEAD, "suspicion not refuted in time"
            )

    def _on_pause(self, pause_s: float) -> None:
        """Extends all suspicions and refreshes the member table.

        During the pause, refutations may have arrived without being read.
        """
        logger.warning("paused", extra={"gap_s": round(pause_s, 3)})
        self._pause_count += 1
        for name in self._suspicion_ends:
            self._suspicion_ends[name] = (
                self._clock.monotonic() + SUSPICION_TIMEOUT_S
            )
        if not self._members.stale:
            self._members.stale = True
            self._tasks.spawn(self._refresh_table(), "refresh")

    async def _refresh_table(self) -> None:
        try:
            for channel in list(self._neighbours.channels().values()):
                if await self._anti_entropy.exchange(channel) is not None:
                    break
        finally:
            self._members.stale = False

    async def _clean_up(self) -> None:
        while True:
            await self._clock.sleep(CLEAN_UP_PERIOD_S)
            self._members.remove_expired()
            self._neighbours.close_idle()

    async def _ping_dead_members(self) -> None:
        """Pings random dead members, so that healed partitions merge again."""
        while True:
            await self._clock.sleep(
                DEAD_PING_PERIOD_S * self._rng.uniform(0.5, 1.5)
            )
            dead = [e for e in self._members.peers() if not e.alive and e.link]
            if not dead:
                continue
            entry = self._rng.choice(dead)
            channel = await self._pinger.ping_over_new_link(
                entry.name, entry.link
            )
            if channel is not None:
                self._on_answer(entry, channel)
                await self._anti_entropy.exchange(channel)
