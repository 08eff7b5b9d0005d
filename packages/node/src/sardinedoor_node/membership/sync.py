"""Repairs differences between two nodes' beliefs."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node.membership import records
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import link
    from sardinedoor_node.membership import gossip
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

TIMEOUT_S = 1.0
_MISMATCH_S = 2.5
_MISMATCH_MAX_S = 300.0
_SLICE_RECORDS = 100
_ID_BYTES = 8
_RESEND_S = 0.02


@dataclasses.dataclass(slots=True)
class _Mismatch:
    since: float
    patience_s: float = _MISMATCH_S


class Sync:
    """Compares digests by bucket and exchanges the records that differ."""

    def __init__(
        self,
        members: table.MemberTable,
        spread: gossip.Gossip,
        teams: Callable[[], list[wire.TeamState]],
        time: clock.Clock,
        group: tasks.TaskGroup,
    ):
        """Prepares; nothing runs by itself.

        Args:
            members: The table.
            spread: Takes what is received.
            teams: Returns the revisions held here.
            time: Clock.
            group: Runs exchanges that a ping started.
        """
        self._members = members
        self._gossip = spread
        self._teams = teams
        self._clock = time
        self._tasks = group
        self._waiting: dict[bytes, asyncio.Future] = {}
        self._mismatches: dict[str, _Mismatch] = {}
        self.serving = False

    def compare(
        self, name: str, channel: link.Channel, same: bool, known: bool
    ) -> None:
        """Starts an exchange with a peer whose digests keep differing.

        Args:
            name: Name of the peer.
            channel: Channel to it.
            same: Whether its digests are those of this node.
            known: Whether the peer is known to be alive.
        """
        if same:
            self._mismatches.pop(name, None)
            return
        now = self._clock.monotonic()
        mismatch = self._mismatches.setdefault(name, _Mismatch(now))
        if known and now - mismatch.since < mismatch.patience_s:
            return
        mismatch.since = now
        self._tasks.spawn(self._repair(name, channel), "sync")

    async def _repair(self, name: str, channel: link.Channel) -> None:
        before = self._members.digest
        await self.exchange(channel)
        mismatch = self._mismatches.get(name)
        if mismatch is None:
            return
        if self._members.digest != before:
            mismatch.patience_s = _MISMATCH_S
        else:
            mismatch.patience_s = min(mismatch.patience_s * 2, _MISMATCH_MAX_S)

    async def exchange(
        self, channel: link.Channel, timeout_s: float = TIMEOUT_S
    ) -> wire.Sync | None:
        """Runs one exchange.

        Args:
            channel: Channel to any peer.
            timeout_s: Longest wait, in s.

        Returns:
            What the peer sent, already taken; None if it didn't answer.
        """
        request = wire.SyncRequest(
            secrets.token_bytes(_ID_BYTES),
            self._members.own.name,
            self._members.buckets,
            self._members.own,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.id] = future
        try:
            async with asyncio.timeout(timeout_s):
                while not channel.send(request):
                    await self._clock.sleep(_RESEND_S)
                reply = await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(request.id, None)
        await self._take(channel, reply)
        return reply

    async def _take(self, channel: link.Channel, reply: wire.Sync) -> None:
        if isinstance(reply.member, wire.Member):
            self._members.heard(reply.member)
        for start in range(0, len(reply.states), _SLICE_RECORDS):
            part = reply.states[start : start + _SLICE_RECORDS]
            self._gossip.take(channel, reply.sender, part, [])
            await asyncio.sleep(0)
        self._gossip.take(channel, reply.sender, [], reply.teams)
        theirs = {state.name: state for state in reply.states}
        newer = [
            mine
            for mine in self._members.in_buckets(reply.buckets)
            if mine != theirs.get(mine.name)
        ]
        for start in range(0, len(newer), _SLICE_RECORDS):
            part = newer[start : start + _SLICE_RECORDS]
            channel.send(wire.Gossip(self._members.own.name, part))
            await asyncio.sleep(0)

    def on_request(
        self, channel: link.Channel, request: wire.SyncRequest
    ) -> None:
        """Answers a peer with what differs."""
        numbers = _differing(self._members.buckets, request.buckets)
        reply = wire.Sync(
            request.id,
            self._members.own.name,
            self.serving,
            numbers,
            self._members.in_buckets(numbers),
            self._teams(),
            self._members.own,
        )
        if isinstance(request.member, wire.Member):
            self._members.heard(request.member)
        channel.send(reply)

    def on_reply(self, channel: link.Channel, reply: wire.Sync) -> None:
        """Hands an answer to the exchange that waits for it."""
        del channel
        future = self._waiting.pop(reply.id, None)
        if future is not None and not future.done():
            future.set_result(reply)


def _differing(own: bytes, theirs: bytes) -> list[int]:
    size = records.HASH_BYTES
    if len(theirs) != len(own):
        return list(range(records.BUCKETS))
    return [
        number
        for number in range(records.BUCKETS)
        if own[number * size : (number + 1) * size]
        != theirs[number * size : (number + 1) * size]
    ]
