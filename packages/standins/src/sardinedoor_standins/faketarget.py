"""In-memory fake of a target behind the interface of the owner's client."""

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
    """Probabilities of faults per request, and the service time.

    Attributes:
        lost_after_run: Probability that the reply is lost after the run.
        lost_before_run: Probability that the connection is lost before.
        truncated: Probability that the reply is truncated.
        crash: Probability that the target crashes during the run.
        hang: Probability that the request is never answered.
        crash_on: Part of a body that crashes the target; empty for none.
        crash_after_s: Time from the start of a run to its crash, in s.
        down_s: Time that the target is down after a crash, in s.
        service_s: Base of the service time, which varies from half to twice
            this value, in s.
    """

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
    """One execution of a request, as the target logs it."""

    target: str
    send_id: str
    body: bytes
    started: float


def answer(name: str, request: wire.Request) -> bytes:
    """Returns the body of the reply that a target sends to a request."""
    return b"%s ran %s" % (name.encode(), request.body)


class FakeTarget:
    """Fake target that logs each run, and keeps running if its owner dies."""

    def __init__(
        self,
        name: str,
        timeline: virtualtime.Timeline,
        rng: random.Random,
        runs: list[Run],
        faults: TargetFaults,
    ):
        """Creates an idle target that accepts connections.

        Args:
            name: Name of the worker.
            timeline: Virtual clock.
            rng: Random source of faults and service times.
            runs: Run log, shared by all targets of the fleet.
            faults: Probabilities of the faults.
        """
        self.name = name
        self.faults = faults
        self._timeline = timeline
        self._rng = rng
        self._runs = runs
        self._down_until = 0.0
        self._crashes = 0

    @property
    def accepts_connections(self) -> bool:
        """Whether it accepts connections."""
        return self._timeline.now >= self._down_until

    def receive(
        self,
        request: wire.Request,
        respond: Callable[[target.TargetReply], None],
    ) -> None:
        """Accepts a request from a connection.

        Args:
            request: The request.
            respond: Called with the reply, or with a lost connection.
        """
        lost = target.TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        if self._occurs("lost_before_run"):
            respond(lost)
            return
        send_id = next(
            (h.value for h in request.headers if h.name == SEND_ID), ""
        )
        now = self._timeline.now
        self._runs.append(Run(self.name, send_id, request.body, now))
        is_lethal = (
            self.faults.crash_on and self.faults.crash_on in request.body
        )
        if is_lethal or self._occurs("crash"):
            crash_at = now + self.faults.crash_after_s
            self._timeline.call_at(crash_at, self.crash)
            self._timeline.call_at(crash_at, lambda: respond(lost))
            return
        if self._occurs("hang"):
            return
        crashes = self._crashes
        reply = self._reply(request)

        def finish() -> None:
            respond(reply if crashes == self._crashes else lost)

        service_s = self.faults.service_s * self._rng.uniform(0.5, 2.0)
        self._timeline.call_at(now + service_s, finish)

    def _reply(self, request: wire.Request) -> target.TargetReply:
        if self._occurs("lost_after_run"):
            return target.TargetReply(codes.Code.TARGET_CONNECTION_LOST)
        if self._occurs("truncated"):
            return target.TargetReply(codes.Code.REPLY_TRUNCATED)
        return target.TargetReply(
            codes.Code.ANSWERED, status=200, body=answer(self.name, request)
        )

    def _occurs(self, fault: str) -> bool:
        return self._rng.random() < getattr(self.faults, fault)

    def crash(self) -> None:
        """Drops the requests in flight, and refuses connections for `down_s`."""
        self._crashes += 1
        self._down_until = self._timeline.now + self.faults.down_s


class FakeTargetClient(owner.Client):
    """Owner's client that calls a fake target directly."""

    def __init__(
        self,
        fake: FakeTarget,
        timeline: virtualtime.Timeline,
        loop: virtualtime.VirtualLoop,
    ):
        """Creates a client without a connection.

        Args:
            fake: The target.
            timeline: Virtual clock.
            loop: Event loop of the owner's process.
        """
        self._target = fake
        self._timeline = timeline
        self._loop = loop

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        del idempotent
        deadline = self._loop.time() + remaining_s
        await asyncio.sleep(CONNECT_S)
        if not self._target.accepts_connections:
            return target.TargetReply(codes.Code.CONNECT_FAILED)
        if self._loop.time() >= deadline:
            return target.TargetReply(codes.Code.DEADLINE_EXPIRED)
        completed = self._loop.create_future()

        def respond(reply: target.TargetReply) -> None:
            self._loop.deliver(lambda: _complete(completed, reply))

        self._target.receive(request, respond)
        try:
            async with asyncio.timeout_at(deadline):
                return await completed
        except TimeoutError:
            return target.TargetReply(codes.Code.TARGET_TIMEOUT)

    async def is_listening(self) -> bool:
        """See base class."""
        await asyncio.sleep(CONNECT_S)
        return self._target.accepts_connections

    def close(self) -> None:
        """See base class."""


def _complete(completed: asyncio.Future, reply: target.TargetReply) -> None:
    if not completed.done():
        completed.set_result(reply)
