"""Steps that check the expected results."""

from __future__ import annotations

import abc
import dataclasses
import time
from typing import TYPE_CHECKING

from sardinedoor_standins import scenario
from sardinedoor_standins import verdict
from sardinedoor_standins.scenario import bench

if TYPE_CHECKING:
    from collections.abc import Callable

_ACTIVE_SHARE_DIVISOR = 5
_COUNT_FIELDS = {
    "cut": "cut",
    "doubled": "doubled",
    "false not-run": "false_not_run",
    "foreign answer": "foreign",
    "answered": "answered",
    "unknown": "unknown",
    "not run": "not_run",
    "errors": "errors",
}


def _require(condition: bool, text: str) -> None:
    if not condition:
        raise scenario.ExpectationError(text)


@dataclasses.dataclass(slots=True)
class Detected(scenario.Step):
    """A faulty target is out of rotation in time, by its run log."""

    worker: str
    limit_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        since = fleet_bench.faulty_since[self.worker]
        end = since + self.limit_s + verdict.OUT_OF_ROTATION_S
        deadline = bench.Deadline(end)
        while not await deadline.has_passed():
            pass
        worker = fleet_bench.worker(self.worker)
        log = await fleet_bench.fleet.runs(worker)
        found = verdict.measure_detection(log, since, end)
        _require(
            found is not None, f"{self.worker} got no requests after the fault"
        )
        _require(
            found.detected and found.seconds <= self.limit_s,
            f"target got {found.outcomes} requests in {found.seconds:.2f} s",
        )


@dataclasses.dataclass(slots=True)
class NoLateWork(scenario.Step):
    """The targets of a leaving node get no requests after a time limit."""

    node: str
    limit_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        last = fleet_bench.leaving_since[self.node] + self.limit_s
        for worker in fleet_bench.fleet.node(self.node).workers:
            log = await fleet_bench.fleet.runs(worker)
            late = [r for r in log if r.started > last]
            _require(not late, f"{worker.name} got {len(late)} requests late")


@dataclasses.dataclass(slots=True)
class AtMostRate(scenario.Step):
    """A target gets no more requests a second from now on, and some at all."""

    worker: str
    rate: int
    period_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        begin = time.monotonic()
        deadline = bench.Deadline(begin + self.period_s)
        while not await deadline.has_passed():
            pass
        worker = fleet_bench.worker(self.worker)
        log = await fleet_bench.fleet.runs(worker)
        end = begin + self.period_s
        count = sum(begin <= run.started < end for run in log)
        _require(count > 0, f"{self.worker} got no requests")
        _require(
            count <= self.rate * self.period_s,
            f"{self.worker} got {count} requests in {self.period_s:g} s",
        )


@dataclasses.dataclass(slots=True)
class Drained(scenario.Step):
    """A worker gets no requests after the edit that removes it."""

    worker: str
    limit_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        last = max(fleet_bench.edited_at.values()) + self.limit_s
        deadline = bench.Deadline(last + verdict.OUT_OF_ROTATION_S)
        while not await deadline.has_passed():
            pass
        worker = fleet_bench.worker(self.worker)
        log = await fleet_bench.fleet.runs(worker)
        late = [r for r in log if r.started > last]
        _require(bool(log), f"{self.worker} never got a request")
        _require(not late, f"{self.worker} got {len(late)} requests late")


@dataclasses.dataclass(slots=True)
class Exits(scenario.Step):
    """A stopped node exited with a given code."""

    node: str
    code: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        code = fleet_bench.exit_codes[self.node]
        _require(code == self.code, f"{self.node} exited with {code}")


class _OnAllNodes(scenario.Step):
    """A condition that all running nodes meet within a time limit."""

    async def _wait(
        self,
        fleet_bench: bench.Bench,
        since: float,
        limit_s: float,
        check: Callable[[dict], bool],
    ) -> None:
        deadline = bench.Deadline(since + limit_s)
        while True:
            missing = [
                node.name
                for node in fleet_bench.running_nodes()
                if not check(await fleet_bench.fleet.status(node))
            ]
            if not missing:
                return
            if await deadline.has_passed():
                names = ", ".join(missing)
                raise scenario.ExpectationError(
                    f"condition not met on: {names}"
                )


@dataclasses.dataclass(slots=True)
class _MemberState(_OnAllNodes):
    node: str
    limit_s: float

    @property
    @abc.abstractmethod
    def alive(self) -> bool:
        """Whether the member is expected to be alive."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        def check(status: dict) -> bool:
            states = {m["name"]: m["alive"] for m in status["members"]}
            return states.get(self.node, False) is self.alive

        await self._wait(fleet_bench, time.monotonic(), self.limit_s, check)


class MemberDead(_MemberState):
    """All running nodes see a node as dead."""

    alive = False


class MemberAlive(_MemberState):
    """All running nodes see a node as alive."""

    alive = True


@dataclasses.dataclass(slots=True)
class _EditResult(_OnAllNodes):
    """The newest edit of a team's settings has the same result on all nodes."""

    team: str
    limit_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        revision = fleet_bench.revisions[self.team]

        def check(status: dict) -> bool:
            rows = {row["team"]: row for row in status["teams"]}
            return self.team in rows and self._has_result(
                rows[self.team], revision
            )

        since = fleet_bench.edited_at[self.team]
        await self._wait(fleet_bench, since, self.limit_s, check)

    @abc.abstractmethod
    def _has_result(self, row: dict, revision: int) -> bool:
        """Returns whether a team's status shows the expected result."""


class InForce(_EditResult):
    """The newest edit of a team is in force on all nodes."""

    def _has_result(self, row: dict, revision: int) -> bool:
        return row["revision"] == revision


class Refused(_EditResult):
    """All nodes refuse the newest edit and keep the earlier revision."""

    def _has_result(self, row: dict, revision: int) -> bool:
        return (
            row["refused_revision"] == revision
            and 0 < row["revision"] < revision
            and bool(row["faults"])
        )


@dataclasses.dataclass(slots=True)
class NotReverted(scenario.Step):
    """No process went back to an older revision, and all have the newest one."""

    team: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        reverted = fleet_bench.reverted.get(self.team, "")
        _require(not reverted, reverted)
        newest = fleet_bench.revisions[self.team]
        for node in fleet_bench.running_nodes():
            status = await fleet_bench.fleet.status(node)
            rows = {t["team"]: t["revision"] for t in status["teams"]}
            _require(
                rows.get(self.team) == newest,
                f"{node.name} has revision {rows.get(self.team)}, not {newest}",
            )


async def _count_active_targets(
    fleet_bench: bench.Bench, service: str, window_s: float
) -> int:
    """Counts the targets that got at least a fifth of an even share."""
    since = time.monotonic() - window_s
    counts = []
    for worker in fleet_bench.workers(service):
        log = await fleet_bench.fleet.runs(worker)
        counts.append(sum(run.started >= since for run in log))
    min_requests = max(1, sum(counts) / len(counts) / _ACTIVE_SHARE_DIVISOR)
    return sum(count >= min_requests for count in counts)


@dataclasses.dataclass(slots=True)
class AtLeastAtWork(scenario.Step):
    """At least `limit` targets of a service get requests, by their run logs."""

    limit: int
    service: str
    window_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        found = await _count_active_targets(
            fleet_bench, self.service, self.window_s
        )
        _require(found >= self.limit, f"{found} targets got requests")


@dataclasses.dataclass(slots=True)
class AtMostAtWork(scenario.Step):
    """At most `limit` targets of a service get requests, by their run logs."""

    limit: int
    service: str
    window_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        found = await _count_active_targets(
            fleet_bench, self.service, self.window_s
        )
        _require(found <= self.limit, f"{found} targets got requests")


class NoFalseEjection(scenario.Step):
    """Only targets with injected faults were ejected."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        false_ejections = fleet_bench.ejected - set(fleet_bench.faulty_since)
        _require(not false_ejections, ", ".join(sorted(false_ejections)))


@dataclasses.dataclass(slots=True)
class Promise(scenario.Step):
    """A promise to callers was kept, by the targets' run logs."""

    name: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        counts = await fleet_bench.counts()
        found = getattr(counts, _COUNT_FIELDS[self.name])
        _require(found == 0, f"broken by {found} of {counts.requests} requests")


@dataclasses.dataclass(slots=True)
class CountAtMost(scenario.Step):
    """A count of results is at most `limit`."""

    limit: int
    name: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        found = getattr(await fleet_bench.counts(), _COUNT_FIELDS[self.name])
        _require(found <= self.limit, f"{found} requests were {self.name}")


@dataclasses.dataclass(slots=True)
class CountAtLeast(scenario.Step):
    """A count of results is at least `limit`."""

    limit: int
    name: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        found = getattr(await fleet_bench.counts(), _COUNT_FIELDS[self.name])
        _require(found >= self.limit, f"{found} requests were {self.name}")


STEPS: dict[str, type[scenario.Step]] = {
    "detected": Detected,
    "quiet": NoLateWork,
    "at_most_rate": AtMostRate,
    "drained": Drained,
    "exits": Exits,
    "dead": MemberDead,
    "alive": MemberAlive,
    "in_force": InForce,
    "refused": Refused,
    "not_reverted": NotReverted,
    "at_work": AtLeastAtWork,
    "some_out": AtMostAtWork,
    "no_false_ejection": NoFalseEjection,
    "promise": Promise,
    "at_most": CountAtMost,
    "at_least": CountAtLeast,
}
