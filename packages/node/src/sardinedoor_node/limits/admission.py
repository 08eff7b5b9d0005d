"""Who gets a worker's slots, who waits for one, and who is refused."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from sardinedoor_node.limits import usage
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Callable

# A queue that has been empty in the last interval may hold a burst this long.
INTERVAL_S = 0.1
# One that has not been empty is overloaded; waiting longer serves nobody.
TARGET_S = 0.02
# An ingress gives up an offer a little later.
MAX_WAIT_S = 0.3
_BURST_SERVICES = 4.0
_QUEUED_PER_SLOT = 8
_SERVICE_WEIGHT = 0.1
# Differences in use below this factor are chance, not a share exceeded.
_OVER_SHARE = 2.0


class Decision(enum.Enum):
    """State of a waiter."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One request for a slot.

    Attributes:
        cells: The organisation's cells in the sketch of use.
        priority: Higher goes first.
        deadline: When the caller stops waiting, monotonic, in s.
        arrived: When it asked, monotonic, in s.
        number: Order of arrival.
        decision: Its state.
        code: Why it was refused.
        charged_s: Slot time charged when it was granted, in s.
        granted: When it was granted, monotonic, in s.
        on_decision: Called once if it had to wait.
    """

    cells: tuple[int, ...]
    priority: int
    deadline: float
    arrived: float
    number: int
    decision: Decision = Decision.WAITING
    code: codes.Code | None = None
    charged_s: float = 0.0
    granted: float = 0.0
    on_decision: Callable[[], None] | None = None


class Admission:
    """The slots of one worker and the short queue in front of them.

    A request that can't be served in time is refused at once. Among those
    that wait, priority goes first, then the organisation that used the
    worker least. When the queue is full, a request of an organisation that
    used much makes room for one of an organisation that used little.
    """

    def __init__(self, slots: int, salt: bytes, max_wait_s: float = MAX_WAIT_S):
        """Starts idle.

        Args:
            slots: Requests that run at once.
            salt: Random bytes for the sketch of use.
            max_wait_s: Longest wait for a slot, in s.
        """
        self._max_wait_s = max_wait_s
        self._slots = slots
        self._usage = usage.UsageSketch(salt)
        self._queue: list[Waiter] = []
        self._in_flight = 0
        self._numbers = 0
        self._service_s = 0.0
        self._emptied = 0.0

    @property
    def slots(self) -> int:
        """Requests that run at once."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def service_s(self) -> float:
        """Mean time that a request keeps its slot, in s."""
        return self._service_s

    def resize(self, slots: int, now: float) -> None:
        """Changes the number of slots; running requests keep theirs."""
        self._slots = slots
        self._fill(now)

    def request(
        self, organisation: str, priority: int, deadline: float, now: float
    ) -> Waiter:
        """Asks for a slot.

        Args:
            organisation: On whose behalf the request is made.
            priority: Higher goes first.
            deadline: When the caller stops waiting, monotonic, in s.
            now: Monotonic time, in s.

        Returns:
            The waiter, decided at once or waiting.
        """
        self._numbers += 1
        cells = self._usage.cells(organisation)
        waiter = Waiter(cells, priority, deadline, now, self._numbers)
        if self._in_flight < self._slots and not self._queue:
            self._emptied = now
            self._grant(waiter, now)
            return waiter
        if self._fits(waiter, now) or self._make_room(waiter, now):
            self._queue.append(waiter)
            return waiter
        self._refuse(waiter, self._full_code(waiter, now))
        return waiter

    def wait_limit_s(self, now: float) -> float:
        """Returns how long a request may wait now, in s."""
        if now - self._emptied <= INTERVAL_S:
            limit_s = max(INTERVAL_S, _BURST_SERVICES * self._service_s)
        else:
            limit_s = max(TARGET_S, self._service_s)
        return min(limit_s, self._max_wait_s)

    def give_up(self, waiter: Waiter, now: float) -> None:
        """Refuses a request that has waited too long, and frees its place.

        Args:
            waiter: One that waits; others are left as they are.
            now: Monotonic time, in s.
        """
        if waiter.decision is not Decision.WAITING:
            return
        self._queue.remove(waiter)
        self._refuse(waiter, self._late_code(waiter, now))
        self._note_empty(now)

    def release(self, waiter: Waiter, now: float) -> None:
        """Gives a granted slot back and decides who gets it.

        Args:
            waiter: The one that was granted.
            now: Monotonic time, in s.
        """
        self._in_flight -= 1
        served_s = now - waiter.granted
        self._usage.add(waiter.cells, served_s - waiter.charged_s, now)
        if self._service_s == 0.0:
            self._service_s = served_s
        self._service_s += _SERVICE_WEIGHT * (served_s - self._service_s)
        self._fill(now)

    def _fits(self, waiter: Waiter, now: float) -> bool:
        if len(self._queue) >= self._slots * _QUEUED_PER_SLOT:
            return False
        own = self._order(waiter, now)
        ahead = sum(1 for w in self._queue if self._order(w, now) < own)
        wait_s = (ahead + 1) * self._service_s / self._slots
        left_s = waiter.deadline - now - self._service_s
        return wait_s <= min(self.wait_limit_s(now), left_s)

    def _make_room(self, waiter: Waiter, now: float) -> bool:
        if not self._queue or waiter.deadline - now < self._service_s:
            return False
        own_s = self._usage.use_s(waiter.cells, now)
        victim = max(self._queue, key=lambda w: self._order(w, now))
        if victim.priority < waiter.priority:
            code = codes.Code.QUEUE_FULL
        elif victim.priority > waiter.priority:
            return False
        elif self._usage.use_s(victim.cells, now) > _OVER_SHARE * own_s:
            code = codes.Code.ORGANISATION_OVER_SHARE
        else:
            return False
        self._queue.remove(victim)
        self._refuse(victim, code)
        return True

    def _full_code(self, waiter: Waiter, now: float) -> codes.Code:
        """Blames the organisation if others wait that used far less."""
        own_s = self._usage.use_s(waiter.cells, now)
        least_s = min(
            (self._usage.use_s(w.cells, now) for w in self._queue),
            default=own_s,
        )
        if own_s > _OVER_SHARE * least_s:
            return codes.Code.ORGANISATION_OVER_SHARE
        return codes.Code.QUEUE_FULL

    def _order(self, waiter: Waiter, now: float) -> tuple[int, float, int]:
        use_s = self._usage.use_s(waiter.cells, now)
        return (-waiter.priority, use_s, waiter.number)

    def _fill(self, now: float) -> None:
        while self._queue and self._in_flight < self._slots:
            waiter = min(self._queue, key=lambda w: self._order(w, now))
            self._queue.remove(waiter)
            if self._is_late(waiter, now):
                self._refuse(waiter, self._late_code(waiter, now))
            else:
                self._grant(waiter, now)
        self._note_empty(now)

    def _is_late(self, waiter: Waiter, now: float) -> bool:
        if waiter.deadline - now <= self._service_s / 2:
            return True
        return now - waiter.arrived > self.wait_limit_s(now)

    def _late_code(self, waiter: Waiter, now: float) -> codes.Code:
        if waiter.deadline <= now:
            return codes.Code.DEADLINE_EXPIRED
        return self._full_code(waiter, now)

    def _note_empty(self, now: float) -> None:
        if not self._queue:
            self._emptied = now

    def _grant(self, waiter: Waiter, now: float) -> None:
        self._in_flight += 1
        waiter.granted = now
        waiter.charged_s = self._service_s
        self._usage.add(waiter.cells, waiter.charged_s, now)
        waiter.decision = Decision.GRANTED
        if waiter.on_decision is not None:
            waiter.on_decision()

    def _refuse(self, waiter: Waiter, code: codes.Code) -> None:
        waiter.decision = Decision.REFUSED
        waiter.code = code
        if waiter.on_decision is not None:
            waiter.on_decision()
