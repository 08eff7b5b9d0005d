"""Allowance of one organisation, as its home node grants it.

It answers a load at which an organisation's callers are spread over the fleet,
stay at one node or move between nodes, while nodes restart and homes move. A home
holds its accounts in memory only. What the nodes of the fleet let in lately is told by
those nodes with their requests, so that a home that has just started or taken over
grants no more than the quota leaves.
"""

from __future__ import annotations

import dataclasses

# Part of what the quota allows in a window that a home may grant in addition when it
# opens an account, since the counts that nodes tell it leave out the time
# between the last requests and its first one. It is a part of the tolerance.
_OPENING_SHARE = 0.15
# Absorbs rounding errors of the allowance, in requests.
_EPSILON = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class Quota:
    """Requests that one organisation may make at all nodes together.

    Attributes:
        rate: Requests per second; 0 for no limit.
        burst: Requests allowed in addition to the rate.
    """

    rate: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate > 0


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaRules:
    """Terms of all quotas.

    Attributes:
        window_s: Length of the window in which a quota is judged, in s.
        overage: Tolerated excess over the quota of a window, as a fraction.
        slack: Tolerated excess in a window, in requests.
    """

    window_s: float = 5.0
    overage: float = 0.25
    slack: float = 20.0

    def tolerance(self, quota: Quota) -> float:
        """Returns the tolerated excess over a quota in a window, in requests."""
        allowed = quota.rate * self.window_s + quota.burst
        return self.overage * allowed + self.slack


@dataclasses.dataclass(slots=True)
class Grant:
    """What a home answers to a request for allowance.

    Attributes:
        granted: Number of requests that may be let in.
        wait_s: Time until there is allowance for a further one, in s; 0 if
            there is some left.
        retry_s: Time after which a refused caller may return, in s. Callers
            that are refused one after another get different times.
    """

    granted: int
    wait_s: float = 0.0
    retry_s: float = 0.0


class Account:
    """Token bucket of one organisation at its home.

    Nodes tell with each request how many requests they let in lately. What exceeds the
    grants of this home was granted by another one, and is charged here as well:
    first against the allowance that lapsed unused within the window, which the other
    home could grant, then against the tokens. These may become negative.
    """

    def __init__(
        self, rules: QuotaRules, quota: Quota, now: float, with_burst: bool
    ):
        """Opens an account.

        Args:
            rules: Terms of the quotas.
            quota: The organisation's quota in force.
            now: Monotonic time, in s.
            with_burst: Whether the burst of the quota is available. No other
                home may have kept the account within the last window.
        """
        self._rules = rules
        self._tokens = _OPENING_SHARE * rules.tolerance(quota)
        self._lapsed = RecentAdmissions(rules.window_s)
        self._lapsed.add(now, quota.rate * rules.window_s)
        if with_burst:
            self._tokens += _capacity(quota)
        else:
            self._lapsed.add(now, _capacity(quota))
        self._updated_at = now
        self._promised_until = now
        self._charged: dict[str, RecentAdmissions] = {}

    def request(
        self, quota: Quota, node: str, wanted: int, recent: float, now: float
    ) -> Grant:
        """Grants allowance to a node.

        Args:
            quota: The organisation's quota in force.
            node: Name of the node that asks.
            wanted: Number of requests that it wants to let in. A negative
                number returns allowance that wasn't used.
            recent: Number of requests that it let in within the last window.
            now: Monotonic time, in s.
        """
        self._refill(quota, now)
        self._charge_unknown(node, recent, now)
        if wanted < 0:
            self._tokens = min(_capacity(quota), self._tokens - wanted)
            self._charged[node].add(now, wanted)
            return Grant(0)
        granted = min(wanted, max(0, int(self._tokens + _EPSILON)))
        self._tokens -= granted
        self._charged[node].add(now, granted)
        missing = 1 - self._tokens
        if missing <= _EPSILON:
            return Grant(granted)
        wait_s = missing / quota.rate
        return Grant(
            granted,
            wait_s,
            self._promise(quota, wanted - granted, now + wait_s) - now,
        )

    def expire(self, now: float) -> bool:
        """Forgets nodes without charges; returns whether none are left."""
        idle = [n for n, c in self._charged.items() if not c.total(now)]
        for node in idle:
            del self._charged[node]
        return not self._charged

    def _charge_unknown(self, node: str, recent: int, now: float) -> None:
        charged = self._charged.get(node)
        if charged is None:
            # One slice longer than the window of the nodes, so that a charge
            # isn't forgotten here while the node still tells it.
            charged = RecentAdmissions(self._rules.window_s, extra_slices=1)
            self._charged[node] = charged
        unknown = recent - charged.total(now)
        if unknown > 0:
            charged.add(now, unknown)
            lapsed = min(unknown, self._lapsed.total(now))
            self._lapsed.add(now, -lapsed)
            self._tokens -= unknown - lapsed

    def _refill(self, quota: Quota, now: float) -> None:
        gained = quota.rate * (now - self._updated_at)
        # A lower quota in force also lowers what is left.
        limit = _capacity(quota) + _OPENING_SHARE * self._rules.tolerance(quota)
        excess = max(0.0, self._tokens + gained - limit)
        if excess:
            self._lapsed.add(now, excess)
        self._tokens += gained - excess
        self._updated_at = now

    def _promise(self, quota: Quota, refused: int, earliest: float) -> float:
        """Returns when refused callers may return: one after another."""
        earliest = max(earliest, self._promised_until)
        latest = self._updated_at + self._rules.window_s
        self._promised_until = min(latest, earliest + refused / quota.rate)
        return min(latest, earliest)


def _capacity(quota: Quota) -> float:
    return max(1.0, quota.burst)


class LocalShare:
    """Allowance of one organisation at a node that reaches no home.

    All nodes together may be in this state, and they can't tell. The share of
    each is therefore a part of the tolerance divided by the size of the fleet.
    """

    # Part of the tolerance that all nodes together use in a window. A window
    # may hold the initial allowance and that of its length.
    _TOLERANCE_SHARE = 0.3

    def __init__(self, rules: QuotaRules, phase: float, now: float):
        """Starts with the allowance of one window.

        Args:
            rules: Terms of the quotas.
            phase: Random number from 0 to 1, so that fractions of a request add
                up over the fleet.
            now: Monotonic time, in s.
        """
        self._rules = rules
        self._tokens = phase
        self._is_new = True
        self._updated_at = now

    def take(self, quota: Quota, nodes: int, now: float) -> bool:
        """Takes allowance for one request.

        Args:
            quota: The organisation's quota in force.
            nodes: Number of nodes in the fleet.
            now: Monotonic time, in s.

        Returns:
            Whether the request may be let in.
        """
        share = self._TOLERANCE_SHARE * self._rules.tolerance(quota)
        share /= max(1, nodes)
        gained = share * (now - self._updated_at) / self._rules.window_s
        if self._is_new:
            self._is_new = False
            gained += share
        self._tokens = min(max(1.0, 2 * share), self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0 - _EPSILON:
            return False
        self._tokens -= 1.0
        return True


class RecentAdmissions:
    """Counts the requests that were let in within the last window.

    The window is divided into slices, so that the memory doesn't depend on
    the rate. The count leaves out a part of the oldest slice.
    """

    _SLICES = 5

    __slots__ = ("_counts", "_slice_s", "_start")

    def __init__(self, window_s: float, extra_slices: int = 0):
        """Starts empty.

        Args:
            window_s: Length of the window, in s.
            extra_slices: Slices counted beyond the window.
        """
        self._slice_s = window_s / self._SLICES
        self._counts = [0.0] * (self._SLICES + extra_slices)
        self._start = 0

    def add(self, now: float, count: float = 1) -> None:
        """Adds requests; a negative number removes them."""
        self._advance(now)
        self._counts[-1] += count

    def total(self, now: float) -> float:
        """Returns the number of requests in the window."""
        self._advance(now)
        return max(0.0, sum(self._counts))

    def _advance(self, now: float) -> None:
        current = int(now / self._slice_s)
        size = len(self._counts)
        passed = min(current - self._start, size)
        if passed > 0:
            self._counts = self._counts[passed:] + [0.0] * passed
            self._start = current
