"""The workers of one node and their slots."""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node.limits import admission
from sardinedoor_node.owner import announcements
from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node import owner
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import settings

logger = logging.getLogger(__name__)

DEFAULT_SLOTS = 3
_SALT_BYTES = 16


class LocalWorker:
    """One of the node's workers, with its client and its slots.

    Attributes:
        name: Name of the worker.
        service: Name of its service.
        client: Sends requests to it.
        announced: What it announces of itself.
        gate: Admits or refuses offers by the worker's health; None admits
            all.
    """

    def __init__(
        self,
        name: str,
        worker: settings.WorkerSettings,
        client: owner.Client | None = None,
        max_wait_s: float = admission.MAX_WAIT_S,
        counters: metrics.Metrics | None = None,
        leaving_lease_s: float = announcements.LEAVING_LEASE_S,
    ):
        """Starts without requests in flight.

        Args:
            name: Name of the worker.
            worker: Its settings.
            client: Sends requests to it; an HTTP client by default.
            max_wait_s: Longest time that an offer waits for a slot, in s.
            counters: Counts what it announces; None for no counters.
            leaving_lease_s: How long it counts as draining after it last
                announced that, in s.
        """
        self.name = name
        self.service = worker.service
        self.client = client or target.TargetClient(worker.address)
        self._drained = False
        self.announced = announcements.AnnouncedState(
            name, counters, leaving_lease_s
        )
        self._admission = admission.Admission(
            DEFAULT_SLOTS, secrets.token_bytes(_SALT_BYTES), max_wait_s
        )
        self._rate_limiter = self._admission.rate_limiter
        self._probes = target.TargetClient(worker.address)
        self.gate: owner.Gate | None = None

    @property
    def drained(self) -> bool:
        """Whether it gets no new requests, as it is published or configured."""
        return self._drained

    def set_drained(self, drained: bool) -> None:
        """Sets whether it gets new requests; if not, none wait for a slot.

        Args:
            drained: Whether it gets none.
        """
        self._drained = drained
        if drained:
            self.refuse_waiting(codes.Code.WORKER_DRAINED)

    def inherit_slots(self, predecessor: LocalWorker) -> None:
        """Shares the slots of the earlier worker at the same address.

        The idle connections of the earlier worker are closed, and the offers that
        wait for it are refused.

        Args:
            predecessor: The earlier worker.
        """
        predecessor.set_drained(True)
        limiter = self._admission.rate_limiter
        self._admission = predecessor._admission
        self._admission.rate_limiter = limiter
        predecessor.client.close()

    def resize(self, slots: int, time: clock.Clock) -> None:
        """Changes the number of slots."""
        if slots != self._admission.slots:
            self._admission.resize(slots, time.monotonic())

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return self._admission.in_flight

    def observe_reply(
        self, reply: target.TargetReply, sent_at: float, now: float
    ) -> None:
        """Updates what the worker announces.

        Args:
            reply: Reply to a request or a probe.
            sent_at: When the request was sent, monotonic, in s.
            now: Monotonic time, in s.
        """
        self.announced.observe(reply, sent_at, now)
        if self.announced.is_leaving(now):
            self.refuse_waiting(codes.Code.TARGET_LEAVING)
        self._apply_rate_limit(now)

    def started_again(self, now: float) -> None:
        """Forgets what the worker announced before it was started again.

        Args:
            now: Monotonic time, in s.
        """
        self.client.close()
        self.announced.reset(now)
        self._apply_rate_limit(now)

    def adopt_rate_limit(
        self, rate_limit: float, age_s: float, now: float
    ) -> None:
        """Takes over a limit from an ingress until the first response.

        Args:
            rate_limit: Requests per second.
            age_s: Time since the ingress learned of it, in s.
            now: Monotonic time, in s.
        """
        self.announced.adopt_rate_limit(rate_limit, age_s, now)
        self._apply_rate_limit(now)

    def _apply_rate_limit(self, now: float) -> None:
        rate_limit = self.announced.rate_limit
        self._rate_limiter.set_rate(rate_limit, now)
        if self.gate is not None:
            self.gate.is_limited = rate_limit is not None
        self._admission.grant_waiting(now)

    @property
    def slots(self) -> int:
        """Number of requests that the worker runs at once."""
        return self._admission.slots

    async def probe(
        self, request: wire.Request, timeout_s: float
    ) -> target.TargetReply:
        """Runs a probe on a separate client.

        A probe occupies no slot, and its outcome isn't reported to the health
        monitor.

        Args:
            request: The probe.
            timeout_s: Time until the probe fails, in s.
        """
        return await self._probes.run(request, False, timeout_s)

    def admits(self, offer: wire.Offer) -> bool:
        """Returns whether the worker's health allows an offer."""
        return self.gate is None or self.gate.admits(offer)

    def apply_service_limits(
        self, service: settings.ServiceSettings, time: clock.Clock
    ) -> None:
        """Sets slots and idle connections to the limits of the service.

        Each slot uses at most one connection. As many idle connections as
        slots are kept, as far as the limit of connections allows.

        Args:
            service: Settings of the service.
            time: The clock.
        """
        slots = min(service.slots, service.connections)
        self.resize(slots, time)
        self.client.max_idle = min(slots, service.connections - slots)

    async def acquire_slot(
        self, offer: wire.Offer, deadline: float, time: clock.Clock
    ) -> admission.Waiter:
        """Acquires a slot, after a bounded wait if none is free.

        Args:
            offer: The offer that needs the slot.
            deadline: When the offer expires, monotonic, in s.
            time: The clock.

        Returns:
            The waiter. If it was granted, the slot has to be returned with
            `release_slot`.
        """
        now = time.monotonic()
        max_wait_s = None
        if not isinstance(offer.wait_ms, msgspec.UnsetType):
            max_wait_s = offer.wait_ms / 1000
        waiter = self._admission.request(
            offer.organisation,
            offer.priority,
            deadline,
            now,
            max_wait_s,
            offer.nested,
        )
        if waiter.decision is admission.Decision.WAITING:
            await self._wait_for_decision(waiter, time)
        return waiter

    async def _wait_for_decision(
        self, waiter: admission.Waiter, time: clock.Clock
    ) -> None:
        decided = asyncio.Event()
        waiter.on_decision = decided.set
        try:
            while waiter.decision is admission.Decision.WAITING:
                now = time.monotonic()
                left_s = self._admission.wait_left_s(waiter, now)
                delay_s = self._admission.rate_limit_delay_s(now)
                is_last = delay_s is None or delay_s >= left_s
                try:
                    async with asyncio.timeout(left_s if is_last else delay_s):
                        await decided.wait()
                except TimeoutError:
                    if is_last:
                        self._admission.time_out(waiter, time.monotonic())
                    else:
                        self._admission.grant_waiting(time.monotonic())
        except asyncio.CancelledError:
            self._admission.withdraw(waiter, time.monotonic())
            if waiter.decision is admission.Decision.GRANTED:
                self.release_slot(waiter, time, used=False)
            raise

    def refuse_waiting(self, code: codes.Code) -> None:
        """Refuses all offers that wait for a slot.

        Args:
            code: Reason of the refusal.
        """
        count = self._admission.refuse_waiting(code)
        if count:
            logger.info(
                "waiting offers refused",
                extra={
                    "worker": self.name,
                    "reason": code.name.lower(),
                    "offers": count,
                },
            )

    def release_slot(
        self, waiter: admission.Waiter, time: clock.Clock, used: bool = True
    ) -> None:
        """Returns a granted slot.

        Args:
            waiter: The waiter that was granted the slot.
            time: The clock.
            used: Whether a request was sent to the worker.
        """
        self._admission.release(waiter, time.monotonic(), used)

    def load(self, now: float) -> wire.Load:
        """Returns the load report for ingresses.

        Args:
            now: Monotonic time, in s.
        """
        load = wire.Load(
            in_flight=self._admission.in_flight,
            queued=self._admission.queued,
            latency_us=int(self._admission.service_time_s * 1_000_000),
            wait_ms=math.ceil(1000 * self._admission.expected_wait_s(now)),
            unheard=self.announced.unheard,
            leaving=self.announced.is_leaving(now),
        )
        if self.announced.rate_limit is not None:
            load.rate_limit = self.announced.rate_limit
        if self.gate is not None:
            self.gate.annotate_load(self.name, load)
        return load


def apply_limits(
    local: dict[str, LocalWorker],
    services: dict[str, settings.ServiceSettings],
    time: clock.Clock,
) -> None:
    """Applies to each worker the limits of its service.

    Args:
        local: The node's own workers by name.
        services: The services in force by name.
        time: The clock.
    """
    for worker in local.values():
        service = services.get(worker.service)
        if service is not None:
            worker.apply_service_limits(service, time)
