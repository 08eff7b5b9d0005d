"""Simulated targets that fail in spells, for simulated load."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.owner import announcements
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire

_OK = 200
_SERVER_ERROR = 500
_UNAVAILABLE = 503
# A failing target answers at once, without doing the work.
_FAILURE_S = 0.01


@dataclasses.dataclass(slots=True)
class Plan:
    """Size of the fleet, and the behaviour of its targets.

    Attributes:
        nodes: Number of nodes; each has one worker.
        domains: Number of failure domains.
        slots: Slots of a worker.
        failing_share: Share of time that a target spends in failing spells.
        spell_s: Length of a spell, in s.
        fails: Share of requests that fail in a spell.
        errors: Share of requests that fail otherwise.
        sheds: Share of requests that each target refuses without running them.
        delay_s: One-way delay of a link, in s.
        limited_share: Share of the targets that announce a rate limit.
        rate_limit: Requests per second that each of them accepts.
    """

    nodes: int = 60
    domains: int = 5
    slots: int = 2
    failing_share: float = 0.3
    spell_s: float = 9.0
    fails: float = 0.8
    errors: float = 0.012
    sheds: float = 0.0
    delay_s: float = 0.0015
    limited_share: float = 0.0
    rate_limit: float = 2.0


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that came to a target.

    Attributes:
        at: When it came, monotonic, in s.
        known_s: Time since its ingress got the first response of the target, in
            s; negative if it got none.
    """

    at: float
    known_s: float


class SpellClient(owner.Client):
    """Target that fails in spells.

    Attributes:
        busy_s: Time for which its slots did work so far, in s.
        announcement: What it announces with each response.
        last_request_at: When the last request came, monotonic, in s.
        arrivals: The requests that came so far.
        last_failure_at: When it last failed a request or was found in a spell,
            monotonic, in s.
    """

    max_idle = 4

    def __init__(
        self, plan: Plan, rng: random.Random, rate_limit: float | None = None
    ):
        """Starts in a spell with the probability of `failing_share`.

        Args:
            plan: Behaviour of the targets.
            rng: Source of randomness.
            rate_limit: Requests per second that it announces as its limit;
                None without a limit.
        """
        self._plan = plan
        self.announcement = announcements.Announcement(rate_limit)
        self._rng = rng
        # The spells of a seed don't depend on the requests.
        self._spell_rng = random.Random(rng.random())
        self._failing = self._spell_rng.random() < plan.failing_share
        self._ends_at = 0.0
        self._draw_end(first=True)
        self.busy_s = 0.0
        self.last_request_at = -math.inf
        self.arrivals: list[Arrival] = []
        self._told_at: dict[str, float] = {}
        self.last_failure_at = -math.inf

    def _draw_end(self, first: bool = False) -> None:
        plan = self._plan
        mean_s = plan.spell_s
        if not self._failing:
            mean_s *= (1 - plan.failing_share) / max(0.01, plan.failing_share)
            length_s = self._spell_rng.expovariate(1 / mean_s)
        else:
            length_s = mean_s * self._spell_rng.uniform(0.9, 1.1)
            if first:
                length_s *= self._spell_rng.random()
        self._ends_at += length_s

    def is_failing(self, now: float) -> bool:
        """Returns whether the target is in a failing spell."""
        while self._plan.failing_share and now >= self._ends_at:
            self._failing = not self._failing
            self._draw_end()
        return self._failing

    def _fails(self, now: float) -> bool:
        failing = self.is_failing(now)
        share = self._plan.fails if failing else self._plan.errors
        fails = self._rng.random() < share
        if failing or fails:
            self.last_failure_at = now
        return fails

    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """See base class."""
        del idempotent
        now = asyncio.get_running_loop().time()
        self.last_request_at = now
        source = request.headers[0].value
        told_at = self._told_at.get(source, math.inf)
        self.arrivals.append(Arrival(now, now - told_at))
        reply = await self._answer(request, now, remaining_s)
        if reply.status:
            ended_at = asyncio.get_running_loop().time()
            self._told_at.setdefault(source, ended_at)
        return reply

    async def _answer(
        self, request: wire.Request, now: float, remaining_s: float
    ) -> target.TargetReply:
        if self._rng.random() < self._plan.sheds:
            await asyncio.sleep(_FAILURE_S)
            return self._reply(codes.Code.TARGET_REFUSED, _UNAVAILABLE)
        if self._fails(now):
            await asyncio.sleep(_FAILURE_S)
            return self._reply(codes.Code.ANSWERED, _SERVER_ERROR)
        mean_s = float(request.body)
        work_s = mean_s * self._rng.lognormvariate(-0.1, 0.45)
        self.busy_s += work_s
        if work_s > remaining_s:
            await asyncio.sleep(remaining_s)
            return target.TargetReply(codes.Code.TARGET_TIMEOUT)
        await asyncio.sleep(work_s)
        return self._reply(codes.Code.ANSWERED, _OK)

    def _reply(self, code: codes.Code, status: int) -> target.TargetReply:
        return target.TargetReply(
            code, status=status, announcement=self.announcement
        )

    async def is_listening(self) -> bool:
        """See base class."""
        return True

    def close(self) -> None:
        """See base class."""
