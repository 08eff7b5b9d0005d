"""Data of the status page, which is served as JSON."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.admin import healthstatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import workers
    from sardinedoor_node.platform import service
    from sardinedoor_node.settings import store


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """One member of the fleet in this node's membership table.

    Attributes:
        name: Name of its node.
        alive: Whether it isn't known to be dead.
        leaving: Whether it is shutting down gracefully.
        workers: Names of the workers that it owns.
        state: Its membership state: alive, suspect, dead or removed.
        reachable: Whether this node's messages reach it.
        reason: Reason of its latest change of state or reachability.
        failure_domain: Its failure domain.
    """

    name: str
    alive: bool
    leaving: bool
    workers: list[str]
    state: str = ""
    reachable: bool = True
    reason: str = ""
    failure_domain: str = ""


@dataclasses.dataclass(slots=True)
class TargetStatus:
    """One target, as announced by its owner.

    Attributes:
        worker: Name of the worker.
        service: Name of its service.
        node: Name of the node that owns it.
        ejected: Whether its owner has ejected it.
    """

    worker: str
    service: str
    node: str
    ejected: bool


@dataclasses.dataclass(slots=True)
class WorkerStatus:
    """One of the node's own workers.

    Attributes:
        worker: Its name.
        service: Name of its service.
        in_flight: Number of requests that it is running.
        slots: Number of requests that it may run at once.
        drained: Whether the settings don't contain it any more.
        leaving: Whether it announces that it is draining.
        rate_limit: Requests per second that it announces as its limit; None
            without a limit.
    """

    worker: str
    service: str
    in_flight: int
    slots: int
    drained: bool
    leaving: bool = False
    rate_limit: float | None = None


@dataclasses.dataclass(slots=True)
class TeamStatus:
    """Settings of one team on this node.

    Attributes:
        team: Name of the team.
        revision: Revision of the settings in force.
        refused_revision: Revision that was refused as faulty; 0 if none was.
        faults: Faults of the refused revision.
        platform_revision: Latest revision that this node read from the
            platform; 0 if it read none.
    """

    team: str
    revision: int
    refused_revision: int
    faults: list[str]
    platform_revision: int = 0


@dataclasses.dataclass(slots=True)
class PlatformStatus:
    """State of the reads from the platform.

    Attributes:
        age_s: Time since any node read from it, in s; negative if none did.
        reader: Whether this node is elected to read from it.
        calls: Number of calls that this node made to it.
        error: Error of this node's latest read; empty if it succeeded.
        list_doubted: Whether the latest list of instances isn't used yet,
            because it changed too much at once.
        behind: Teams whose revision at the platform is lower than the one in
            force.
    """

    age_s: float
    reader: bool
    calls: int
    error: str
    list_doubted: bool
    behind: list[str]


@dataclasses.dataclass(slots=True)
class Status:
    """State of the fleet as known to one node.

    Attributes:
        node: Name of the node.
        ready: Whether it accepts requests.
        state: "starting", the reason why it can't serve yet, or "serving".
        members: The members of the fleet.
        teams: The teams' settings.
        platform: State of the reads from the platform.
        targets: The targets of all services.
        workers: The node's own workers.
        health: Health of these workers.
        task_restarts: Restarts of tasks that should not have ended, by task.
    """

    node: str
    ready: bool
    state: str
    members: list[MemberStatus]
    teams: list[TeamStatus]
    platform: PlatformStatus
    targets: list[TargetStatus]
    workers: list[WorkerStatus]
    health: list[healthstatus.HealthStatus] = dataclasses.field(
        default_factory=list
    )
    task_restarts: dict[str, int] = dataclasses.field(default_factory=dict)


def collect(
    name: str,
    state: str,
    members: table.MemberTable,
    settings: store.SettingsStore,
    reads: service.PlatformPoller,
    local_workers: Iterable[workers.LocalWorker],
    now: float,
) -> Status:
    """Returns the status of a node; the health of its workers is left empty.

    Args:
        name: Name of the node.
        state: Its phase.
        members: Its membership table.
        settings: Its settings.
        reads: Its reads from the platform.
        local_workers: Its own workers.
        now: Monotonic time, in s.
    """
    teams = sorted(set(settings.subtrees) | set(settings.refused))
    return Status(
        name,
        state == "serving",
        state,
        [_member(entry) for entry in members.entries.values()],
        [_team(team, settings, reads) for team in teams],
        _platform(reads),
        _targets(members),
        [
            WorkerStatus(
                worker.name,
                worker.service,
                worker.in_flight,
                worker.slots,
                worker.drained,
                worker.announced.is_leaving(now),
                worker.announced.rate_limit,
            )
            for worker in local_workers
        ],
    )


def _targets(members: table.MemberTable) -> list[TargetStatus]:
    return [
        TargetStatus(worker.name, worker.service, entry.name, worker.ejected)
        for entry in members.entries.values()
        if entry.member is not None and entry.alive
        for worker in entry.member.workers
    ]


def _member(entry: table.Entry) -> MemberStatus:
    workers = entry.member.workers if entry.member else []
    return MemberStatus(
        entry.name,
        entry.alive,
        entry.leaving,
        [worker.name for worker in workers],
        entry.state.name.lower(),
        entry.reachable,
        entry.reason,
        entry.failure_domain,
    )


def _team(
    team: str, settings: store.SettingsStore, reads: service.PlatformPoller
) -> TeamStatus:
    refused_revision, faults = settings.refused.get(team, (0, []))
    return TeamStatus(
        team,
        settings.revision(team),
        refused_revision,
        [str(fault) for fault in faults],
        reads.reader.platform_revisions.get(team, 0),
    )


def _platform(reads: service.PlatformPoller) -> PlatformStatus:
    age_s = reads.age_s
    return PlatformStatus(
        -1.0 if age_s is None else round(age_s, 1),
        reads.election.is_reader(),
        reads.client.calls,
        reads.reader.last_error,
        reads.instance_tracker.unconfirmed,
        reads.reader.teams_behind,
    )
