"""Anti-entropy: repairs differences between the tables of two nodes."""

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

REPLY_TIMEOUT_S = 1.0
_MIN_MISMATCH_S = 2.5
_MAX_MISMATCH_S = 300.0
_BATCH_RECORDS = 100
_ID_BYTES = 8
_SEND_RETRY_S = 0.02


@dataclasses.dataclass(slots=True)
class _Mismatch:
    since: float
    tolerated_s: float = _MIN_MISMATCH_S


class AntiEntropy:
    """Compares digests by bucket and exchanges the records that differ.

    Attributes:
        serving: Whether this node accepts requests; sent with each reply.
    """

    def __init__(
        self,
        members: table.MemberTable,
        gossiper: gossip.Gossip,
        teams: Callable[[], list[wire.TeamState]],
        time: clock.Clock,
        group: tasks.TaskGroup,
    ):
        """Prepares exchanges; none starts by itself.

        Args:
            members: The member table.
            gossiper: Applies received records and passes them on.
            teams: Returns the revisions that this node has of all teams'
                settings.
            time: Clock.
            group: Runs the exchanges that a ping or ack triggered.
        """
        self._members = members
        self._gossip = gossiper
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
            same: Whether its digests equal those of this node.
            known: Whether this node regards the peer as alive. If not, the
                exchange starts at once.
        """
        if same:
            self._mismatches.pop(name, None)
            return
        now = self._clock.monotonic()
        mismatch = self._mismatches.setdefault(name, _Mismatch(now))
        if known and now - mismatch.since < mismatch.tolerated_s:
            return
        mismatch.since = now
        self._tasks.spawn(self._repair(name, channel), "sync")

    async def _repair(self, name: str, channel: link.Channel) -> None:
        """Runs an exchange; backs off if it changed nothing in this table."""
        before = self._members.digest
        await self.exchange(channel)
        mismatch = self._mismatches.get(name)
        if mismatch is None:
            return
        if self._members.digest != before:
            mismatch.tolerated_s = _MIN_MISMATCH_S
        else:
            mismatch.tolerated_s = min(
                mismatch.tolerated_s * 2, _MAX_MISMATCH_S
            )

    async def exchange(
        self, channel: link.Channel, timeout_s: float = REPLY_TIMEOUT_S
    ) -> wire.Sync | None:
        """Sends the bucket digests to a peer and applies its reply.

        Args:
            channel: Channel to any peer.
            timeout_s: Longest wait for the reply, in s.

        Returns:
            The reply, already applied; None if none came in time.
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
                    await self._clock.sleep(_SEND_RETRY_S)
                reply = await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(request.id, None)
        await self._apply(channel, reply)
        return reply

    async def _apply(self, channel: link.Channel, reply: wire.Sync) -> None:
        """Applies a reply, and sends back the records that differ from it.

        Both happen in batches, so that the event loop isn't blocked for long.
        """
        if isinstance(reply.member, wire.Member):
            self._members.apply_member(reply.member)
        for start in range(0, len(reply.states), _BATCH_RECORDS):
            batch = reply.states[start : start + _BATCH_RECORDS]
            self._gossip.apply(channel, reply.sender, batch, [])
            await asyncio.sleep(0)
        self._gossip.apply(channel, reply.sender, [], reply.teams)
        theirs = {state.name: state for state in reply.states}
        differing = [
            own
            for own in self._members.records_in_buckets(reply.buckets)
            if own != theirs.get(own.name)
        ]
        for start in range(0, len(differing), _BATCH_RECORDS):
            batch = differing[start : start + _BATCH_RECORDS]
            channel.send(wire.Gossip(self._members.own.name, batch))
            await asyncio.sleep(0)

    def on_request(
        self, channel: link.Channel, request: wire.SyncRequest
    ) -> None:
        """Replies with the records of the buckets that differ."""
        numbers = _differing_buckets(self._members.buckets, request.buckets)
        reply = wire.Sync(
            request.id,
            self._members.own.name,
            self.serving,
            numbers,
            self._members.records_in_buckets(numbers),
            self._teams(),
            self._members.own,
        )
        if isinstance(request.member, wire.Member):
            self._members.apply_member(request.member)
        channel.send(reply)

    def on_reply(self, channel: link.Channel, reply: wire.Sync) -> None:
        """Resolves the exchange that a reply belongs to."""
        del channel
        future = self._waiting.pop(reply.id, None)
        if future is not None and not future.done():
            future.set_result(reply)


def _differing_buckets(own: bytes, theirs: bytes) -> list[int]:
    size = records.HASH_BYTES
    if len(theirs) != len(own):
        return list(range(records.BUCKET_COUNT))
    return [
        number
        for number in range(records.BUCKET_COUNT)
        if own[number * size : (number + 1) * size]
        != theirs[number * size : (number + 1) * size]
    ]
