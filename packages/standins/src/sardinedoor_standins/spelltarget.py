"""Simulated targets that fail in spells, for simulated load."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.owner import target
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire

_OK = 200
_SERVER_ERROR = 500
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


class SpellClient(owner.Client):
    """Target that fails in spells.

    Attributes:
        busy_s: Time for which its slots did work so far, in s.
        last_request_at: When the last request came, monotonic, in s.
        last_failure_at: When it last failed a request or was found in a spell,
            monotonic, in s.
    """

    max_idle = 4

    def __init__(self, plan: Plan, rng: random.Random):
        """Starts in a spell with the probability of `failing_share`.

        Args:
            plan: Behaviour of the targets.
            rng: Source of randomness.
        """
        self._plan = plan
        self._rng = rng
        # The spells of a seed don't depend on the requests.
        self._spell_rng = random.Random(rng.random())
        self._failing = self._spell_rng.random() < plan.failing_share
        self._ends_at = 0.0
        self._draw_end(first=True)
        self.busy_s = 0.0
        self.last_request_at = -math.inf
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
        if self._rng.random() < self._plan.sheds:
            await asyncio.sleep(_FAILURE_S)
            return target.TargetReply(codes.Code.TARGET_REFUSED)
        if self._fails(now):
            await asyncio.sleep(_FAILURE_S)
            return target.TargetReply(codes.Code.ANSWERED, status=_SERVER_ERROR)
        mean_s = float(request.body)
        work_s = mean_s * self._rng.lognormvariate(-0.1, 0.45)
        self.busy_s += work_s
        if work_s > remaining_s:
            await asyncio.sleep(remaining_s)
            return target.TargetReply(codes.Code.TARGET_TIMEOUT)
        await asyncio.sleep(work_s)
        return target.TargetReply(codes.Code.ANSWERED, status=_OK)

    async def is_listening(self) -> bool:
        """See base class."""
        return True

    def close(self) -> None:
        """See base class."""
