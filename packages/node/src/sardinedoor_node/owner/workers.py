"""The workers of one node and their slots."""

from __future__ import annotations

import asyncio
import math
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node.limits import admission
from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import owner
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import settings

DEFAULT_SLOTS = 3
_SALT_BYTES = 16
# A draining worker names this header in its answers, also to probes.
LEAVING_HEADER = "Sardinedoor-Leaving"
# Without a new word for this long, a request may try the worker again.
LEAVING_LEASE_S = 30.0


class LocalWorker:
    """One worker: its connections, and the requests it runs.

    Attributes:
        drained: Whether the settings no longer name it, so that it gets no
            new work.
    """

    def __init__(
        self,
        name: str,
        worker: settings.WorkerSettings,
        client: owner.Client | None = None,
        max_wait_s: float = admission.MAX_WAIT_S,
    ):
        """Starts idle.

        Args:
            name: Name of the worker.
            worker: Its settings.
            client: Takes requests to it; by default over HTTP.
            max_wait_s: Longest wait for one of its slots, in s.
        """
        self.name = name
        self.service = worker.service
        self.client = client or target.TargetClient(worker.address)
        self.drained = False
        self._leaving_until = -math.inf
        self._admission = admission.Admission(
            DEFAULT_SLOTS, secrets.token_bytes(_SALT_BYTES), max_wait_s
        )
        self._probes = target.TargetClient(worker.address)
        self.gate: owner.Gate | None = None

    def take_over(self, earlier: LocalWorker) -> None:
        """Shares the slots of an earlier worker at the same address."""
        self._admission = earlier._admission
        earlier.client.close()

    def resize(self, slots: int, time: clock.Clock) -> None:
        """Changes how many requests run at once."""
        if slots != self._admission.slots:
            self._admission.resize(slots, time.monotonic())

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return self._admission.in_flight

    def is_leaving(self, now: float) -> bool:
        """Tells whether the worker itself says that it is draining.

        Args:
            now: Monotonic time, in s.
        """
        return now < self._leaving_until

    def heard(self, reply: target.TargetReply, now: float) -> None:
        """Takes what the worker says of itself in any answer.

        Args:
            reply: An answer to a request or a probe.
            now: Monotonic time, in s.
        """
        if reply.code != codes.Code.ANSWERED:
            return
        if LEAVING_HEADER in reply.headers:
            self._leaving_until = now + LEAVING_LEASE_S
        else:
            self._leaving_until = now

    @property
    def slots(self) -> int:
        """Requests that the worker runs at once."""
        return self._admission.slots

    async def probe(
        self, request: wire.Request, timeout_s: float
    ) -> target.TargetReply:
        """Runs a probe, which is no evidence of health and takes no slot."""
        return await self._probes.run(request, False, timeout_s)

    def admits(self, offer: wire.Offer) -> bool:
        """Tells whether the worker's health allows an offer."""
        return self.gate is None or self.gate.admits(offer)

    def set_limits(
        self, service: settings.ServiceSettings, time: clock.Clock
    ) -> None:
        """Takes the limits of the worker's service.

        At most one connection for each slot is in use, and as many are kept
        idle, as far as the limit of connections allows.
        """
        slots = min(service.slots, service.connections)
        self.resize(slots, time)
        self.client.max_idle = min(slots, service.connections - slots)

    async def admit(
        self, offer: wire.Offer, deadline: float, time: clock.Clock
    ) -> admission.Waiter:
        """Waits for a slot, for a short time only.

        Args:
            offer: What asks for it.
            deadline: When the offer expires, monotonic, in s.
            time: The clock.

        Returns:
            The waiter; if it was granted, `release` has to follow.
        """
        now = time.monotonic()
        waiter = self._admission.request(
            offer.organisation, offer.priority, deadline, now
        )
        if waiter.decision is admission.Decision.WAITING:
            await self._wait(waiter, time)
        return waiter

    async def _wait(self, waiter: admission.Waiter, time: clock.Clock) -> None:
        decided = asyncio.Event()
        waiter.on_decision = decided.set
        now = time.monotonic()
        left_s = min(self._admission.wait_limit_s(now), waiter.deadline - now)
        try:
            async with asyncio.timeout(left_s):
                await decided.wait()
        except TimeoutError:
            self._admission.give_up(waiter, time.monotonic())
        except asyncio.CancelledError:
            self._admission.give_up(waiter, time.monotonic())
            if waiter.decision is admission.Decision.GRANTED:
                self.release(waiter, time)
            raise

    def release(self, waiter: admission.Waiter, time: clock.Clock) -> None:
        """Gives a granted slot back."""
        self._admission.release(waiter, time.monotonic())

    def load(self) -> wire.Load:
        """Returns the load to tell others."""
        load = wire.Load(
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
            latency_us=int(self._admission.service_s * 1_000_000),
        )
        if self.gate is not None:
            self.gate.describe(self.name, load)
        return load


def apply_limits(
    local: dict[str, LocalWorker],
    services: dict[str, settings.ServiceSettings],
    time: clock.Clock,
) -> None:
    """Gives each worker the limits of its service.

    Args:
        local: The node's own workers by name.
        services: The services in force by name.
        time: The clock.
    """
    for worker in local.values():
        service = services.get(worker.service)
        if service is not None:
            worker.set_limits(service, time)
