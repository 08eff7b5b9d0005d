"""A target in memory, at the interface of the owner's client."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from sardinedoor_schema.generated import wire
    from sardinedoor_standins import virtualtime

CONNECT_S = 0.001
SEND_ID = "X-Send-Id"


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """How often a request meets each fault."""

    lost_after_run: float = 0.0
    lost_before_run: float = 0.0
    truncated: float = 0.0
    crash: float = 0.0
    hang: float = 0.0
    crash_on: bytes = b""
    crash_after_s: float = 0.0
    down_s: float = 0.3
    service_s: float = 0.005


@dataclasses.dataclass(slots=True)
class Run:
    """One execution: who sent it, and the body that named it."""

    target: str
    send_id: str
    body: bytes
    started: float


def answer(name: str, request: wire.Request) -> bytes:
    """Returns the body with which a target answers a request."""
    return b"%s ran %s" % (name.encode(), request.body)


class FakeTarget:
    """One worker: it logs each run, and outlives the owner's process."""

    def __init__(
        self,
        name: str,
        timeline: virtualtime.Timeline,
        rng: random.Random,
        runs: list[Run],
        faults: TargetFaults,
    ):
        """Starts up and idle.

        Args:
            name: Name of the worker.
            timeline: The time.
            rng: Source of randomness.
            runs: The log to add to.
            faults: Its faults.
        """
        self.name = name
        self.faults = faults
        self._timeline = timeline
        self._rng = rng
        self._runs = runs
        self._down_until = 0.0
        self._crashes = 0

    @property
    def up(self) -> bool:
        """Whether it accepts connections."""
        return self._timeline.now >= self._down_until

    def take(
        self,
        request: wire.Request,
        respond: Callable[[target.TargetReply], None],
    ) -> None:
        """Takes a request that came over a connection.

        Args:
            request: The request.
            respond: Called with what the client sees of the end.
        """
        lost = target.TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        if self._hits("lost_before_run"):
            respond(lost)
            return
        send_id = next(
            (h.value for h in request.headers if h.name == SEND_ID), ""
        )
        now = self._timeline.now
        self._runs.append(Run(self.name, send_id, request.body, now))
        killer = self.faults.crash_on and self.faults.crash_on in request.body
        if killer or self._hits("crash"):
            after = now + self.faults.crash_after_s
            self._timeline.call_at(after, self.crash)
            self._timeline.call_at(after, lambda: respond(lost))
            return
        if self._hits("hang"):
            return
        crashes = self._crashes
        reply = self._reply(request)

        def finish() -> None:
            respond(reply if crashes == self._crashes else lost)

        service_s = self.faults.service_s * self._rng.uniform(0.5, 2.0)
        self._timeline.call_at(now + service_s, finish)

    def _reply(self, request: wire.Request) -> target.TargetReply:
        if self._hits("lost_after_run"):
            return target.TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        if self._hits("truncated"):
            return target.TargetReply(codes.Code.REPLY_TRUNCATED)
        return target.TargetReply(
            codes.Code.ANSWERED, status=200, body=answer(self.name, request)
        )

    def _hits(self, fault: str) -> bool:
        return self._rng.random() < getattr(self.faults, fault)

    def crash(self) -> None:
        """Loses all that is in flight, and stays down for a while."""
        self._crashes += 1
        self._down_until = self._timeline.now + self.faults.down_s


class FakeTargetClient(owner.Client):
    """Client of one owner's process for a fake target."""

    def __init__(
        self,
        to: FakeTarget,
        timeline: virtualtime.Timeline,
        loop: virtualtime.VirtualLoop,
    ):
        """Connects nothing yet.

        Args:
            to: The target.
            timeline: The time.
            loop: Loop of the owner's process.
        """
        self._target = to
        self._timeline = timeline
        self._loop = loop

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        del idempotent
        deadline = self._loop.time() + remaining_s
        await asyncio.sleep(CONNECT_S)
        if not self._target.up:
            return target.TargetReply(codes.Code.CONNECT_FAILED)
        if self._loop.time() >= deadline:
            return target.TargetReply(codes.Code.DEADLINE_EXPIRED)
        ended = self._loop.create_future()

        def respond(reply: target.TargetReply) -> None:
            self._loop.deliver(lambda: _settle(ended, reply))

        self._target.take(request, respond)
        try:
            async with asyncio.timeout_at(deadline):
                return await ended
        except TimeoutError:
            return target.TargetReply(codes.Code.TARGET_TIMEOUT)

    async def is_listening(self) -> bool:
        """See base class."""
        await asyncio.sleep(CONNECT_S)
        return self._target.up

    def close(self) -> None:
        """See base class."""


def _settle(ended: asyncio.Future, reply: target.TargetReply) -> None:
    if not ended.done():
        ended.set_result(reply)
