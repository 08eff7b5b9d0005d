"""Runs seeded schedules of faults and checks what callers were told.

The oracle is the targets' own log of runs, never a counter of the nodes.
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

_LENGTH_S = 28.0
_SENDS_FROM_S = 15.0
_SENDS_UNTIL_S = 20.0
_EPOCH_MS = int(virtualtime.EPOCH.timestamp() * 1000)
_RANDOM_BITS = 74
POLICIES = (
    holding.AlwaysHold(),
    holding.HoldUnlessHeard(),
    holding.NeverHold(),
)


class Kind(enum.Enum):
    """What a fault does to a node or to a direction between two."""

    CUT = "cut"
    FREEZE = "freeze"
    KILL = "kill"
    EDIT = "edit"


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault, set off when a frame is sent.

    Attributes:
        kind: What happens.
        frame: Number of the frame that sets it off, from the first request.
        receiver: Whether it hits the frame's receiver, not its sender.
        steps: Steps of the node's loop before it freezes.
        seconds: How long it lasts, in s.
    """

    kind: Kind
    frame: int
    receiver: bool
    steps: int
    seconds: float


@dataclasses.dataclass(slots=True)
class Schedule:
    """All that happens in one run of the grid."""

    seed: int
    frame_faults: memlink.FrameFaults
    target_faults: faketarget.TargetFaults
    faults: list[Fault]
    policy: holding.HoldPolicy
    requests: int = 12


@dataclasses.dataclass(slots=True)
class Verdict:
    """Counts of one schedule, or of many."""

    sends: int = 0
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
    def broken(self) -> int:
        """Number of broken promises."""
        return self.doubled + self.false_not_run + self.foreign

    def add(self, other: Verdict) -> None:
        """Adds the counts of another verdict."""
        for field in dataclasses.fields(self):
            mine = getattr(self, field.name)
            theirs = getattr(other, field.name)
            setattr(self, field.name, mine + theirs)


def make_schedule(seed: int) -> Schedule:
    """Draws a schedule.

    Args:
        seed: The same seed gives the same schedule.

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
    """Runs a schedule and judges it."""
    with virtualtime.Timeline().closing() as timeline:
        fleet = memfleet.MemoryFleet(
            timeline,
            schedule.seed,
            frame_faults=schedule.frame_faults,
            target_faults=schedule.target_faults,
            policy=schedule.policy,
        )
        _set_off(fleet, schedule.faults)
        sends = _submit(fleet, schedule.requests)
        timeline.run_until(_LENGTH_S)
        verdict = judge(sends, fleet.runs)
        verdict.frames = fleet.network.sent
        return verdict


def _set_off(fleet: memfleet.MemoryFleet, faults: list[Fault]) -> None:
    counted = itertools.count(1)

    def on_sent(source: str, destination: str) -> None:
        if fleet.timeline.now < _SENDS_FROM_S:
            return
        number = next(counted)
        for fault in faults:
            if fault.frame == number:
                # A kill must not take the sender's loop from under it.
                fleet.timeline.call_at(
                    fleet.timeline.now,
                    lambda f=fault: _apply(fleet, f, source, destination),
                )

    fleet.network.on_sent.append(on_sent)


def _apply(
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
    """Makes a version 7 UUID of a virtual time."""
    time_ms = _EPOCH_MS + int(now_s * 1000)
    bits = (time_ms << 80) | rng.getrandbits(_RANDOM_BITS)
    bits = bits & ~(0xF << 76) | (7 << 76)
    bits = bits & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=bits))


def _submit(fleet: memfleet.MemoryFleet, requests: int) -> list[memfleet.Send]:
    rng = random.Random(fleet.rng.random())
    sends = []
    for number in range(requests):
        when = rng.uniform(_SENDS_FROM_S, _SENDS_UNTIL_S)
        key = make_key(rng, when) if rng.random() < 0.5 else ""
        idempotent = not key and rng.random() < 0.3
        copies = rng.choice([1, 2, 3]) if key else 1
        for copy in range(copies):
            send = memfleet.Send(
                f"{number}.{copy}", b"pay-%d" % number, idempotent, key
            )
            name = rng.choice(sorted(fleet.nodes))
            fleet.submit(when, name, send)
            sends.append(send)
            when += rng.choice([0.0, 0.004, 0.3, 2.5])
    return sends


def judge(sends: list[memfleet.Send], runs: list[faketarget.Run]) -> Verdict:
    """Compares what callers were told with what targets ran.

    Args:
        sends: All requests of all callers.
        runs: The targets' logs.

    Returns:
        The verdict.
    """
    verdict = Verdict(sends=len(sends), runs=len(runs))
    by_send = collections.Counter(r.send_id for r in runs)
    by_body = collections.Counter(r.body for r in runs)
    for body in {s.body for s in sends if not s.idempotent}:
        verdict.doubled += max(0, by_body[body] - 1)
    for send in sends:
        _judge_send(verdict, send, by_send[send.send_id])
    return verdict


def _judge_send(verdict: Verdict, send: memfleet.Send, runs: int) -> None:
    if send.outcome is None:
        verdict.unanswered += 1
        return
    verdict.by_code[send.outcome.code] += 1
    outcome = codes.outcome(send.outcome.code)
    if outcome is codes.Outcome.ANSWERED:
        verdict.answered += 1
        verdict.latencies_s.append(send.answered - send.sent)
        pattern = rb"n\d-w\d ran " + re.escape(send.body)
        if not re.fullmatch(pattern, send.outcome.reply.body):
            verdict.foreign += 1
    elif outcome is codes.Outcome.NOT_RUN:
        verdict.not_run += 1
        verdict.false_not_run += runs > 0
    else:
        verdict.unknown += 1
