"""Admission of requests under the quotas of their organisations.

Each organisation has a home, the node that keeps its account. A node asks the home
before it lets a request in; requests that arrive meanwhile share the next message.
If the home doesn't answer, the next node of the ring is asked, which passes the
request on if it reaches the home itself. A node that reaches none of them lets in its
share of the tolerance.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.organisations import accounts
from sardinedoor_node.organisations import homefinder
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

# Longest wait for the answer of a home, in s. Callers wait for it, and a home that is
# alive answers within a round trip.
_ANSWER_TIMEOUT_S = 0.2
# Longest wait for the answer of a node that may have to find out first that the home
# doesn't answer, in s.
_SUBSTITUTE_TIMEOUT_S = 0.5
# Time for a link to open, in s.
_LINK_WAIT_S = 0.1
# Nodes that are asked before a node lets in its share of the tolerance.
_MAX_CANDIDATES = 3
# Longest time for which a refusal also holds for later requests, in s.
_MAX_REFUSAL_S = 0.25
_MAX_ID = 2**31


@dataclasses.dataclass(slots=True)
class Admission:
    """Decision on one request.

    Attributes:
        admitted: Whether the request is within the quota.
        retry_s: Time after which a refused caller may return, in s.
    """

    admitted: bool
    retry_s: float = 0.0


_ADMITTED = Admission(True)


@dataclasses.dataclass(slots=True)
class _OpenAccount:
    """What an ingress knows of one organisation.

    Attributes:
        recent: Requests that were let in lately.
        waiting: Requests that wait for the home's answer.
        asking: Whether a message to the home is under way.
        refused_until: Until when requests are refused without asking,
            monotonic, in s.
        retry_at: When the next refused caller may return, monotonic, in s.
        local_share: Allowance while no home can be reached.
    """

    recent: accounts.RecentAdmissions
    waiting: collections.deque[asyncio.Future[Admission]] = dataclasses.field(
        default_factory=collections.deque
    )
    asking: bool = False
    refused_until: float = float("-inf")
    retry_at: float = float("-inf")
    local_share: accounts.LocalShare | None = None


class QuotaKeeper:
    """Lets requests in under the quotas, and keeps the accounts of this home."""

    def __init__(
        self,
        own_name: str,
        members: Callable[[], list[str]],
        find_quota: Callable[[str], accounts.Quota | None],
        rules: accounts.QuotaRules,
        transport: link.Transport,
        background: tasks.TaskGroup,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ):
        """Registers the receivers of messages.

        Args:
            own_name: Name and link address of this node.
            members: Returns the nodes that may keep accounts, the same list
                until it changes.
            find_quota: Returns the quota of an organisation in force, None for
                an unknown organisation.
            rules: Terms of the quotas.
            transport: The node's links.
            background: Runs the tasks that wait for answers.
            time: Source of the monotonic time.
            rng: Spreads the local shares.
            counters: Counts refusals and homes that don't answer.
        """
        self._own_name = own_name
        self._find_quota = find_quota
        self._rules = rules
        self._transport = transport
        self._tasks = background
        self._clock = time
        self._rng = rng
        self._metrics = counters
        self._homes = homefinder.HomeFinder(own_name, members, time)
        self._open: dict[str, _OpenAccount] = {}
        self._accounts: dict[str, accounts.Account] = {}
        self._answers: dict[int, asyncio.Future[wire.AllowanceGrant]] = {}
        self._last_id = rng.randrange(_MAX_ID)
        transport.on_message(wire.AllowanceRequest, self._on_request)
        transport.on_message(wire.AllowanceGrant, self._on_grant)

    @property
    def account_count(self) -> int:
        """Number of accounts that this node keeps as their home."""
        return len(self._accounts)

    def heard(self, name: str, channel: link.Channel | None = None) -> None:
        """Records a sign of life of another node."""
        del channel
        self._homes.heard(name)

    async def admit(
        self, organisation: str, quota: accounts.Quota
    ) -> Admission:
        """Decides on one request.

        Args:
            organisation: Name of the organisation.
            quota: Its quota in force.
        """
        if not quota.is_limited:
            return _ADMITTED
        now = self._clock.monotonic()
        account = self._open.get(organisation)
        if account is None:
            recent = accounts.RecentAdmissions(self._rules.window_s)
            account = self._open[organisation] = _OpenAccount(recent)
        if now < account.refused_until:
            return self._refuse(account, quota, now)
        if self._homes.is_own(organisation):
            grant = self._grant(
                organisation,
                quota,
                self._own_name,
                1,
                account.recent.total(now),
            )
            return self._settle(account, quota, grant, 1)[0]
        decision = asyncio.get_running_loop().create_future()
        account.waiting.append(decision)
        if not account.asking:
            account.asking = True
            self._tasks.spawn(self._ask_home(organisation, account), "quota")
        return await decision

    def give_back(self, organisation: str, quota: accounts.Quota) -> None:
        """Returns the allowance of a request that was let in but not run."""
        account = self._open.get(organisation)
        if account is None or not quota.is_limited:
            return
        now = self._clock.monotonic()
        recent = account.recent.total(now)
        account.recent.add(now, -1)
        if self._homes.is_own(organisation):
            self._grant(organisation, quota, self._own_name, -1, recent)
            return
        home = next(self._homes.candidates(organisation), None)
        if home is not None:
            self._send(home, self._make_request(organisation, -1, recent))

    async def run(self) -> None:
        """Drops the state of organisations without requests."""
        while True:
            await self._clock.sleep(self._rules.window_s)
            now = self._clock.monotonic()
            for name, account in list(self._accounts.items()):
                if account.expire(now):
                    del self._accounts[name]
            for name, account in list(self._open.items()):
                if not account.asking and not account.recent.total(now):
                    del self._open[name]

    # The node at which requests arrive.

    async def _ask_home(self, organisation: str, account: _OpenAccount) -> None:
        try:
            while account.waiting:
                await self._ask_once(organisation, account)
        finally:
            account.asking = False
            while account.waiting:
                _decide(account.waiting.popleft(), _ADMITTED)

    async def _ask_once(self, organisation: str, account: _OpenAccount) -> None:
        count = len(account.waiting)
        quota = self._find_quota(organisation)
        if quota is None or not quota.is_limited:
            decisions = [_ADMITTED] * count
        else:
            recent = account.recent.total(self._clock.monotonic())
            request = self._make_request(organisation, count, recent)
            grant = await self._exchange(request)
            if grant is None:
                decisions = self._share_locally(account, quota, count)
            else:
                decisions = self._settle(account, quota, grant, count)
        for decision in decisions:
            _decide(account.waiting.popleft(), decision)

    def _settle(
        self,
        account: _OpenAccount,
        quota: accounts.Quota,
        grant: accounts.Grant,
        count: int,
    ) -> list[Admission]:
        now = self._clock.monotonic()
        granted = min(count, grant.granted)
        if granted:
            account.recent.add(now, granted)
        decisions = [_ADMITTED] * granted
        if granted < count:
            account.refused_until = now + min(grant.wait_s, _MAX_REFUSAL_S)
            account.retry_at = max(account.retry_at, now + grant.retry_s)
            decisions += [
                self._refuse(account, quota, now)
                for _ in range(count - granted)
            ]
        return decisions

    def _refuse(
        self, account: _OpenAccount, quota: accounts.Quota, now: float
    ) -> Admission:
        retry_s = max(account.retry_at, account.refused_until) - now
        account.retry_at = min(
            max(account.retry_at, now) + 1 / quota.rate,
            now + self._rules.window_s,
        )
        return Admission(False, retry_s)

    def _share_locally(
        self, account: _OpenAccount, quota: accounts.Quota, count: int
    ) -> list[Admission]:
        """Decides without a home, on this node's share of the tolerance."""
        now = self._clock.monotonic()
        self._metrics.event("quota_home_unreachable")
        if account.local_share is None:
            account.local_share = accounts.LocalShare(
                self._rules, self._rng.random(), now
            )
        decisions = []
        for _ in range(count):
            if account.local_share.take(quota, self._homes.node_count, now):
                account.recent.add(now)
                decisions.append(_ADMITTED)
            else:
                decisions.append(Admission(False, homefinder.SUSPICION_S))
        return decisions

    async def _exchange(
        self, request: wire.AllowanceRequest
    ) -> accounts.Grant | None:
        """Asks the home and those that take its place; None if all fail."""
        candidates = self._homes.candidates(request.organisation)
        home = self._homes.home(request.organisation)
        for _, name in zip(range(_MAX_CANDIDATES), candidates, strict=False):
            if name == self._own_name:
                if self._homes.is_isolated:
                    return None
                quota = self._find_quota(request.organisation)
                if quota is None:
                    return None
                return self._grant(
                    request.organisation,
                    quota,
                    request.node,
                    request.wanted,
                    request.recent,
                )
            timeout_s = _ANSWER_TIMEOUT_S
            if name != home and not request.relayed:
                timeout_s = _SUBSTITUTE_TIMEOUT_S
            answer = await self._ask(name, request, timeout_s)
            if answer is not None and answer.known:
                return accounts.Grant(
                    answer.granted,
                    answer.wait_ms / 1000,
                    answer.retry_ms / 1000,
                )
        return None

    async def _ask(
        self, name: str, request: wire.AllowanceRequest, timeout_s: float
    ) -> wire.AllowanceGrant | None:
        channel = self._transport.connect(name, name)
        answer = asyncio.get_running_loop().create_future()
        self._answers[request.id] = answer
        try:
            if not channel.send(request) and not (
                await channel.ready(_LINK_WAIT_S) and channel.send(request)
            ):
                self._suspect(name, "link")
                return None
            async with asyncio.timeout(timeout_s):
                grant = await answer
            self.heard(name)
            return grant
        except TimeoutError:
            self._suspect(name, "timeout")
            return None
        finally:
            del self._answers[request.id]

    def _suspect(self, name: str, reason: str) -> None:
        self._metrics.event(f"quota_home_{reason}")
        self._homes.suspect(name)

    def _on_grant(
        self, channel: link.Channel, grant: wire.AllowanceGrant
    ) -> None:
        answer = self._answers.get(grant.id)
        if answer is not None and not answer.done():
            answer.set_result(grant)
            return
        # The requests were decided without it. The home charges them to this
        # node until the window has passed.
        self._metrics.dropped("late_allowance")

    # The home of accounts.

    def _on_request(
        self, channel: link.Channel, request: wire.AllowanceRequest
    ) -> None:
        if not request.relayed:
            self.heard(request.node)
        if request.relayed or self._homes.is_own(request.organisation):
            self._answer(channel, request)
        else:
            self._tasks.spawn(self._relay(channel, request), "quota-relay")

    def _answer(
        self, channel: link.Channel, request: wire.AllowanceRequest
    ) -> None:
        quota = self._find_quota(request.organisation)
        if quota is None:
            channel.send(wire.AllowanceGrant(request.id, known=False))
            return
        if not quota.is_limited:
            channel.send(
                wire.AllowanceGrant(request.id, granted=max(0, request.wanted))
            )
            return
        grant = self._grant(
            request.organisation,
            quota,
            request.node,
            request.wanted,
            request.recent,
        )
        if request.wanted >= 0:
            channel.send(_to_message(request.id, grant))

    async def _relay(
        self, channel: link.Channel, request: wire.AllowanceRequest
    ) -> None:
        """Passes a request on to the home, which this node may still reach."""
        passed_on = self._make_request(
            request.organisation, request.wanted, request.recent
        )
        passed_on.node = request.node
        passed_on.relayed = True
        if request.wanted < 0:
            home = next(self._homes.candidates(request.organisation), None)
            if home is not None:
                self._send(home, passed_on)
            return
        grant = await self._exchange(passed_on)
        if grant is None:
            channel.send(wire.AllowanceGrant(request.id, known=False))
        else:
            channel.send(_to_message(request.id, grant))

    def _grant(
        self,
        organisation: str,
        quota: accounts.Quota,
        node: str,
        wanted: int,
        recent: float,
    ) -> accounts.Grant:
        now = self._clock.monotonic()
        self._probe_home(organisation)
        account = self._accounts.get(organisation)
        if account is None:
            account = accounts.Account(
                self._rules,
                quota,
                now,
                self._homes.is_settled(organisation, self._rules.window_s),
            )
            self._accounts[organisation] = account
        return account.request(quota, node, wanted, recent, now)

    def _probe_home(self, organisation: str) -> None:
        """Asks the home whether it is back, if this node takes its place."""
        home = self._homes.home_to_probe(organisation)
        if home is None:
            return
        probe = self._make_request(organisation, 0, 0)
        probe.relayed = True
        self._tasks.spawn(
            self._ask(home, probe, _ANSWER_TIMEOUT_S), "quota-probe"
        )

    def _make_request(
        self, organisation: str, wanted: int, recent: float
    ) -> wire.AllowanceRequest:
        self._last_id += 1
        return wire.AllowanceRequest(
            self._last_id, organisation, self._own_name, wanted, round(recent)
        )

    def _send(self, name: str, message: wire.AllowanceRequest) -> None:
        if name == self._own_name:
            quota = self._find_quota(message.organisation)
            if quota is not None and quota.is_limited:
                self._grant(
                    message.organisation,
                    quota,
                    message.node,
                    message.wanted,
                    message.recent,
                )
            return
        self._transport.connect(name, name).send(message)


def _decide(decision: asyncio.Future[Admission], value: Admission) -> None:
    if not decision.done():
        decision.set_result(value)


def _to_message(request_id: int, grant: accounts.Grant) -> wire.AllowanceGrant:
    return wire.AllowanceGrant(
        request_id,
        granted=grant.granted,
        wait_ms=round(1000 * grant.wait_s),
        retry_ms=round(1000 * grant.retry_s),
    )
