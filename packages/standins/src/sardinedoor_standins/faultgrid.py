"""Deterministic simulation of random fault schedules on an in-memory fleet.

The results that callers got are checked against the run log of the targets,
never against counters of the nodes under test.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import random
import re
import uuid

from sardinedoor_node.ingress import holding
from sardinedoor_schema import codes
from sardinedoor_standins import faketarget
from sardinedoor_standins import memfleet
from sardinedoor_standins import memlink
from sardinedoor_standins import virtualtime

_SIMULATED_S = 28.0
_LOAD_START_S = 15.0
_LOAD_END_S = 20.0
_VIRTUAL_EPOCH_MS = int(virtualtime.EPOCH.timestamp() * 1000)
_UUID7_RANDOM_BITS = 74
POLICIES = (
    holding.AlwaysHold(),
    holding.HoldUnlessHeard(),
    holding.NeverHold(),
)


class Kind(enum.Enum):
    """Kinds of faults.

    Attributes:
        CUT: Frames in one direction between two nodes are lost.
        FREEZE: A node's process pauses.
        KILL: A node's process is killed and started again.
        EDIT: Changed settings reach the nodes at different times.
    """

    CUT = "cut"
    FREEZE = "freeze"
    KILL = "kill"
    EDIT = "edit"


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault, triggered by the sending of a frame.

    Attributes:
        kind: Kind of the fault.
        frame: Number of the frame that triggers it, counted from the start
            of the load.
        receiver: Whether it affects the frame's receiver instead of its
            sender.
        steps: Iterations of the node's event loop before a freeze; for an
            edit its parity selects the number of workers.
        seconds: Length of a cut, freeze or downtime, or upper bound of the
            delay of an edit, in s.
    """

    kind: Kind
    frame: int
    receiver: bool
    steps: int
    seconds: float


@dataclasses.dataclass(slots=True)
class Schedule:
    """Seed, load and faults of one simulation."""

    seed: int
    frame_faults: memlink.FrameFaults
    target_faults: faketarget.TargetFaults
    faults: list[Fault]
    policy: holding.HoldPolicy
    requests: int = 12


@dataclasses.dataclass(slots=True)
class Verdict:
    """Results of one schedule, or the sum of several.

    Attributes:
        requests: Requests sent by callers.
        runs: Executions in the run logs of the targets.
        answered: Requests with a reply.
        not_run: Requests reported as not run.
        unknown: Requests with an unknown outcome.
        unanswered: Requests without any result.
        doubled: Surplus runs of requests that aren't idempotent.
        false_not_run: Requests reported as not run that a target ran.
        foreign: Replies that belong to another request.
        frames: Frames sent between nodes.
        by_code: Number of requests by result code.
        latencies_s: Latencies of the answered requests, in s.
    """

    requests: int = 0
    runs: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    unanswered: int = 0
    doubled: int = 0
    false_not_run: int = 0
    foreign: int = 0
    frames: int = 0
    by_code: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def violations(self) -> int:
        """Number of violated invariants."""
        return self.doubled + self.false_not_run + self.foreign

    def add(self, other: Verdict) -> None:
        """Adds the counts of another verdict."""
        for field in dataclasses.fields(self):
            own = getattr(self, field.name)
            added = getattr(other, field.name)
            setattr(self, field.name, own + added)


def make_schedule(seed: int) -> Schedule:
    """Draws a random schedule.

    Args:
        seed: Seed of the schedule; equal seeds give equal schedules.

    Returns:
        The schedule.
    """
    rng = random.Random(seed)
    frame_faults = memlink.FrameFaults(
        lost=rng.choice([0.0, 0.0, 0.05]),
        refused=rng.choice([0.0, 0.02]),
        doubled=rng.choice([0.0, 0.1, 0.5]),
        delayed=rng.choice([0.0, 0.1, 0.3]),
        truncated=rng.choice([0.0, 0.0, 0.02]),
        longest_delay_s=rng.choice([0.01, 0.3, 1.5]),
    )
    target_faults = faketarget.TargetFaults(
        lost_after_run=rng.choice([0.0, 0.1]),
        lost_before_run=rng.choice([0.0, 0.05]),
        truncated=rng.choice([0.0, 0.05]),
        crash=rng.choice([0.0, 0.05]),
        hang=rng.choice([0.0, 0.05]),
        service_s=rng.choice([0.005, 0.2]),
    )
    faults = [_draw_fault(rng) for _ in range(rng.randrange(1, 5))]
    policy = POLICIES[seed % len(POLICIES)]
    return Schedule(seed, frame_faults, target_faults, faults, policy)


def _draw_fault(rng: random.Random) -> Fault:
    kinds = [Kind.CUT, Kind.FREEZE, Kind.KILL, Kind.EDIT]
    return Fault(
        kind=rng.choices(kinds, [4, 4, 4, 1])[0],
        frame=rng.randrange(1, 80),
        receiver=rng.random() < 0.5,
        steps=rng.randrange(0, 4),
        seconds=rng.choice([0.02, 0.3, 0.7, 1.5]),
    )


def run(schedule: Schedule) -> Verdict:
    """Simulates a schedule and evaluates its results."""
    with virtualtime.Timeline().closing() as timeline:
        fleet = memfleet.MemoryFleet(
            timeline,
            schedule.seed,
            frame_faults=schedule.frame_faults,
            target_faults=schedule.target_faults,
            policy=schedule.policy,
        )
        _install_faults(fleet, schedule.faults)
        requests = _submit(fleet, schedule.requests)
        timeline.run_until(_SIMULATED_S)
        verdict = evaluate(requests, fleet.runs)
        verdict.frames = fleet.network.sent
        return verdict


def _install_faults(fleet: memfleet.MemoryFleet, faults: list[Fault]) -> None:
    frame_numbers = itertools.count(1)

    def on_sent(source: str, destination: str) -> None:
        if fleet.timeline.now < _LOAD_START_S:
            return
        number = next(frame_numbers)
        for fault in faults:
            if fault.frame == number:
                # The sender's loop is running now, so that it can't be killed
                # before this iteration has ended.
                fleet.timeline.call_at(
                    fleet.timeline.now,
                    lambda f=fault: _apply_fault(fleet, f, source, destination),
                )

    fleet.network.on_sent.append(on_sent)


def _apply_fault(
    fleet: memfleet.MemoryFleet, fault: Fault, source: str, destination: str
) -> None:
    if fault.kind is Kind.CUT:
        if fault.receiver:
            source, destination = destination, source
        fleet.network.cut(source, destination, fault.seconds)
    elif fault.kind is Kind.EDIT:
        names = sorted(fleet.targets)[: 2 + fault.steps % 2]
        subtree = memfleet.make_subtree(fleet.subtree.revision + 1, names)
        fleet.edit(subtree, fault.seconds)
    else:
        name = destination if fault.receiver else source
        node = fleet.nodes.get(name)
        if node is None:
            return
        if fault.kind is Kind.KILL:
            fleet.kill(name, fault.seconds)
        else:
            node.loop.freeze_after(fault.steps, fault.seconds)


def make_key(rng: random.Random, now_s: float) -> str:
    """Builds an idempotency key: a version 7 UUID of a virtual time in s."""
    time_ms = _VIRTUAL_EPOCH_MS + int(now_s * 1000)
    bits = (time_ms << 80) | rng.getrandbits(_UUID7_RANDOM_BITS)
    bits = bits & ~(0xF << 76) | (7 << 76)
    bits = bits & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=bits))


def _submit(
    fleet: memfleet.MemoryFleet, request_count: int
) -> list[memfleet.CallerRequest]:
    rng = random.Random(fleet.rng.random())
    requests = []
    for number in range(request_count):
        when = rng.uniform(_LOAD_START_S, _LOAD_END_S)
        key = make_key(rng, when) if rng.random() < 0.5 else ""
        idempotent = not key and rng.random() < 0.3
        copies = rng.choice([1, 2, 3]) if key else 1
        for copy in range(copies):
            request = memfleet.CallerRequest(
                f"{number}.{copy}", b"pay-%d" % number, idempotent, key
            )
            name = rng.choice(sorted(fleet.nodes))
            fleet.submit(when, name, request)
            requests.append(request)
            when += rng.choice([0.0, 0.004, 0.3, 2.5])
    return requests


def evaluate(
    requests: list[memfleet.CallerRequest], runs: list[faketarget.Run]
) -> Verdict:
    """Checks the results that callers got against the targets' run log.

    Args:
        requests: Requests of all callers.
        runs: Runs of all targets.

    Returns:
        Counts of the results and of the violated invariants.
    """
    verdict = Verdict(requests=len(requests), runs=len(runs))
    by_send = collections.Counter(r.send_id for r in runs)
    by_body = collections.Counter(r.body for r in runs)
    for body in {s.body for s in requests if not s.idempotent}:
        verdict.doubled += max(0, by_body[body] - 1)
    for request in requests:
        _evaluate_request(verdict, request, by_send[request.send_id])
    return verdict


def _evaluate_request(
    verdict: Verdict, request: memfleet.CallerRequest, runs: int
) -> None:
    if request.result is None:
        verdict.unanswered += 1
        return
    verdict.by_code[request.result.code] += 1
    outcome = codes.outcome(request.result.code)
    if outcome is codes.Outcome.ANSWERED:
        verdict.answered += 1
        verdict.latencies_s.append(request.answered - request.sent)
        pattern = rb"n\d-w\d ran " + re.escape(request.body)
        if not re.fullmatch(pattern, request.result.reply.body):
            verdict.foreign += 1
    elif outcome is codes.Outcome.NOT_RUN:
        verdict.not_run += 1
        verdict.false_not_run += runs > 0
    else:
        verdict.unknown += 1
