"""Admission control for the slots of one worker."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from sardinedoor_node.limits import ratelimit
from sardinedoor_node.limits import rootshare
from sardinedoor_node.limits import usage
from sardinedoor_node.limits import waitshares
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable

# The queue's limits on waiting follow CoDel: a queue that has been empty within
# the last interval absorbs a burst, and requests may wait this long.
CODEL_INTERVAL_S = 0.1
# A queue that hasn't been empty for that long is standing: the worker is
# overloaded, and longer waits would only add latency.
CODEL_TARGET_S = 0.02
# Less than the time after which an ingress abandons an offer.
MAX_WAIT_S = 0.3
_BURST_SERVICE_TIMES = 4.0
_MAX_QUEUED_PER_SLOT = 8
_SERVICE_TIME_WEIGHT = 0.1
# Smaller differences in usage are noise and no excess of the fair share.
_OVER_SHARE_FACTOR = 2.0


class Decision(enum.Enum):
    """Decision on a request for a slot."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request for a slot.

    Attributes:
        cells: Indices of the organisation's cells in the usage sketch.
        priority: A higher priority is served first.
        deadline: When the caller stops waiting, monotonic, in s.
        arrived_at: When the request was made, monotonic, in s.
        sequence: Number of the request in order of arrival.
        decision: The decision so far.
        code: Reason of the refusal, None if not refused.
        charged_s: Slot time charged in advance with the grant, in s.
        granted_at: When the slot was granted, monotonic, in s.
        on_decision: Called once the decision on a queued request is made.
        max_wait_s: Longest time that it may wait, in s; None if the admission
            limits it.
        nested: Whether a worker made it while running another request. Work is
            lost if it isn't served, so it goes before the others.
    """

    cells: tuple[int, ...]
    priority: int
    deadline: float
    arrived_at: float
    sequence: int
    decision: Decision = Decision.WAITING
    code: codes.Code | None = None
    charged_s: float = 0.0
    granted_at: float = 0.0
    on_decision: Callable[[], None] | None = None
    max_wait_s: float | None = None
    nested: bool = False

    @property
    def urgency(self) -> tuple[bool, int]:
        """Rank among the requests that wait; the greatest is served first."""
        return (self.nested, self.priority)


class Admission:
    """Grants the slots of one worker, with a bounded queue in front of them.

    A request that can't be served in time is refused at once. Queued requests
    are served by priority, then by the organisation's recent usage, the least
    first. When the queue is full, a request of lower priority, or of an
    organisation with far more usage, is displaced.

    Attributes:
        rate_limiter: Limits the rate of grants; admits any rate by default.
    """

    def __init__(self, slots: int, salt: bytes, max_wait_s: float = MAX_WAIT_S):
        """Creates idle slots and an empty queue.

        Args:
            slots: Number of requests that run concurrently.
            salt: Random key for the usage sketch.
            max_wait_s: Longest time to wait for a slot, in s.
        """
        self._max_wait_s = max_wait_s
        self._slots = slots
        self._usage = usage.UsageSketch(salt)
        self._queue: list[Waiter] = []
        self._in_flight = 0
        self._last_sequence = 0
        self._service_time_s = 0.0
        self._last_empty_at = 0.0
        self._wait_shares = waitshares.WaitShares()
        self._root_share = rootshare.RootShare()
        self.rate_limiter = ratelimit.RateLimiter()

    @property
    def slots(self) -> int:
        """Number of requests that run concurrently."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def service_time_s(self) -> float:
        """Moving average of the time that a request holds its slot, in s."""
        return self._service_time_s

    def resize(self, slots: int, now: float) -> None:
        """Changes the number of slots; running requests keep theirs."""
        self._slots = slots
        self._grant_free_slots(now)

    def request(
        self,
        organisation: str,
        priority: int,
        deadline: float,
        now: float,
        max_wait_s: float | None = None,
        nested: bool = False,
    ) -> Waiter:
        """Grants a slot, queues the request or refuses it.

        Args:
            organisation: Organisation that the usage is charged to.
            priority: A higher priority is served first.
            deadline: When the caller stops waiting, monotonic, in s.
            now: Monotonic time, in s.
            max_wait_s: Longest time that the request may wait, in s. It is
                refused at once if it would probably wait longer. None leaves
                the limit to the admission.
            nested: Whether a worker made the request while running another one.

        Returns:
            The waiter; its decision may still be pending.
        """
        self._last_sequence += 1
        cells = self._usage.cells(organisation)
        waiter = Waiter(
            cells,
            priority,
            deadline,
            now,
            self._last_sequence,
            max_wait_s=max_wait_s,
            nested=nested,
        )
        if not self._queue and self._can_grant(now):
            self._last_empty_at = now
            self._grant(waiter, now)
            return waiter
        if self._can_wait(waiter, now) or self._displace(waiter, now):
            self._queue.append(waiter)
            return waiter
        self._refuse(waiter, self._overload_code(waiter, now))
        return waiter

    def expected_wait_s(self, now: float) -> float:
        """Returns how long a further request would probably wait, in s."""
        return self._expected_wait_s(len(self._queue), now)

    def _expected_wait_s(self, ahead: int, now: float) -> float:
        """Returns how long a request would wait behind others, in s."""
        wait_s = self.rate_limiter.delay_s(ahead + 1, now)
        if self._in_flight + ahead < self._slots:
            return wait_s
        slots = max(1, self._slots)
        return max(wait_s, (ahead + 1) * self._service_time_s / slots)

    def rate_limit_delay_s(self, now: float) -> float | None:
        """Returns when the rate limit admits the next queued request, in s.

        Returns:
            The delay; None if the next grant has to wait for a slot.
        """
        if self._in_flight >= self._slots:
            return None
        return self.rate_limiter.delay_s(1, now)

    def grant_waiting(self, now: float) -> None:
        """Grants what slots and the rate limit allow to queued requests."""
        self._grant_free_slots(now)

    def wait_limit_s(self, now: float) -> float:
        """Returns how long a request may currently wait, in s."""
        if now - self._last_empty_at <= CODEL_INTERVAL_S:
            limit_s = max(
                CODEL_INTERVAL_S, _BURST_SERVICE_TIMES * self._service_time_s
            )
        else:
            limit_s = max(CODEL_TARGET_S, self._service_time_s)
        return min(limit_s, self._max_wait_s)

    def wait_left_s(self, waiter: Waiter, now: float) -> float:
        """Returns how long a queued request may still wait, in s."""
        limit_s = waiter.max_wait_s
        if limit_s is None:
            limit_s = self.wait_limit_s(now)
        return min(waiter.arrived_at + limit_s, waiter.deadline) - now

    def time_out(self, waiter: Waiter, now: float) -> None:
        """Refuses a queued request that has waited too long.

        Args:
            waiter: The waiter; nothing happens if it is already decided.
            now: Monotonic time, in s.
        """
        if waiter.decision is not Decision.WAITING:
            return
        self.withdraw(waiter, now)
        self._wait_shares.wait_ended(waiter.urgency, False)

    def withdraw(self, waiter: Waiter, now: float) -> None:
        """Refuses a queued request that its ingress no longer waits for.

        Args:
            waiter: The waiter; nothing happens if it is already decided.
            now: Monotonic time, in s.
        """
        if waiter.decision is not Decision.WAITING:
            return
        self._queue.remove(waiter)
        self._refuse(waiter, self._expiry_code(waiter, now))
        self._record_empty_queue(now)

    def refuse_waiting(self, code: codes.Code) -> int:
        """Refuses all queued requests.

        Args:
            code: Reason of the refusal.

        Returns:
            Number of the requests.
        """
        refused, self._queue = self._queue, []
        for waiter in refused:
            self._refuse(waiter, code)
        return len(refused)

    def release(self, waiter: Waiter, now: float, used: bool = True) -> None:
        """Returns a slot and grants it to the next queued request.

        Args:
            waiter: The waiter that held the slot.
            now: Monotonic time, in s.
            used: Whether the request was sent to the worker.
        """
        self._in_flight -= 1
        if not used:
            self.rate_limiter.give_back(now)
        served_s = now - waiter.granted_at
        self._usage.add(waiter.cells, served_s - waiter.charged_s, now)
        self._root_share.add(waiter.nested, served_s - waiter.charged_s, now)
        if self._service_time_s == 0.0:
            self._service_time_s = served_s
        self._service_time_s += _SERVICE_TIME_WEIGHT * (
            served_s - self._service_time_s
        )
        self._grant_free_slots(now)

    def _can_wait(self, waiter: Waiter, now: float) -> bool:
        if len(self._queue) >= self._slots * _MAX_QUEUED_PER_SLOT:
            return False
        own = self._rank(waiter, now)
        queue = self._queue
        if not waiter.nested and self._root_share.is_short(now):
            queue = [w for w in queue if not w.nested]
        ahead = sum(1 for w in queue if self._rank(w, now) < own)
        wait_s = self._expected_wait_s(ahead, now)
        left_s = waiter.deadline - now - self._service_time_s
        limit_s = self.wait_left_s(waiter, now)
        if waiter.max_wait_s is not None:
            limit_s *= self._wait_shares.share(waiter.urgency)
        return wait_s <= min(limit_s, left_s)

    def _displace(self, waiter: Waiter, now: float) -> bool:
        if (
            not self._queue
            or waiter.max_wait_s == 0
            or waiter.deadline - now < self._service_time_s
        ):
            return False
        own_s = self._usage.usage_s(waiter.cells, now)
        candidates = self._queue
        if waiter.nested and self._root_share.is_short(now):
            candidates = [w for w in candidates if w.nested]
        if not candidates:
            return False
        victim = max(candidates, key=lambda w: self._rank(w, now))
        if victim.urgency < waiter.urgency:
            code = codes.Code.QUEUE_FULL
        elif victim.urgency > waiter.urgency:
            return False
        elif (
            self._usage.usage_s(victim.cells, now) > _OVER_SHARE_FACTOR * own_s
        ):
            code = codes.Code.ORGANISATION_OVER_SHARE
        else:
            return False
        self._queue.remove(victim)
        self._wait_shares.wait_ended(victim.urgency, False)
        self._refuse(victim, code)
        return True

    def _overload_code(self, waiter: Waiter, now: float) -> codes.Code:
        """Returns the code of a refusal due to load.

        It is the worker's rate limit if a slot is free. The organisation is
        over its share if a queued request belongs to one with far less usage.
        """
        if self._in_flight < self._slots and not self._can_grant(now):
            return codes.Code.TARGET_LIMITED
        own_s = self._usage.usage_s(waiter.cells, now)
        least_s = min(
            (self._usage.usage_s(w.cells, now) for w in self._queue),
            default=own_s,
        )
        if own_s > _OVER_SHARE_FACTOR * least_s:
            return codes.Code.ORGANISATION_OVER_SHARE
        return codes.Code.QUEUE_FULL

    def _rank(self, waiter: Waiter, now: float) -> tuple[bool, int, float, int]:
        usage_s = self._usage.usage_s(waiter.cells, now)
        return (
            not waiter.nested,
            -waiter.priority,
            usage_s,
            waiter.sequence,
        )

    def _can_grant(self, now: float) -> bool:
        """Returns whether a slot is free and the rate limit admits a request."""
        return (
            self._in_flight < self._slots
            and self.rate_limiter.delay_s(1, now) <= 0
        )

    def _grant_free_slots(self, now: float) -> None:
        while self._queue and self._can_grant(now):
            waiter = self._next_waiter(now)
            self._queue.remove(waiter)
            if self._is_expired(waiter, now):
                self._refuse(waiter, self._expiry_code(waiter, now))
            else:
                self._grant(waiter, now)
                self._wait_shares.wait_ended(waiter.urgency, True)
        self._record_empty_queue(now)

    def _next_waiter(self, now: float) -> Waiter:
        waiting = self._queue
        if self._root_share.is_short(now):
            waiting = [w for w in waiting if not w.nested] or waiting
        return min(waiting, key=lambda w: self._rank(w, now))

    def _is_expired(self, waiter: Waiter, now: float) -> bool:
        if waiter.deadline - now <= self._service_time_s / 2:
            return True
        return self.wait_left_s(waiter, now) < 0

    def _expiry_code(self, waiter: Waiter, now: float) -> codes.Code:
        if waiter.deadline <= now:
            return codes.Code.DEADLINE_EXPIRED
        return self._overload_code(waiter, now)

    def _record_empty_queue(self, now: float) -> None:
        if not self._queue:
            self._last_empty_at = now

    def _grant(self, waiter: Waiter, now: float) -> None:
        self._in_flight += 1
        self.rate_limiter.take(now)
        waiter.granted_at = now
        waiter.charged_s = self._service_time_s
        self._usage.add(waiter.cells, waiter.charged_s, now)
        self._root_share.add(waiter.nested, waiter.charged_s, now)
        waiter.decision = Decision.GRANTED
        if waiter.on_decision is not None:
            waiter.on_decision()

    def _refuse(self, waiter: Waiter, code: codes.Code) -> None:
        waiter.decision = Decision.REFUSED
        waiter.code = code
        if waiter.on_decision is not None:
            waiter.on_decision()
