"""What the status page shows."""

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
    """One member as this node sees it."""

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
    """One target as this node sees it."""

    worker: str
    service: str
    node: str
    ejected: bool


@dataclasses.dataclass(slots=True)
class WorkerStatus:
    """One of the node's own workers.

    Attributes:
        drained: Whether the settings no longer name it.
    """

    worker: str
    service: str
    in_flight: int
    slots: int
    drained: bool


@dataclasses.dataclass(slots=True)
class TeamStatus:
    """Settings of one team in force on this node.

    Attributes:
        platform_revision: What the platform said last; 0 if it was not read
            by this node.
    """

    team: str
    revision: int
    refused_revision: int
    faults: list[str]
    platform_revision: int = 0


@dataclasses.dataclass(slots=True)
class PlatformStatus:
    """How the platform is read.

    Attributes:
        age_s: Time since any node read it, in s; negative if none did.
        reader: Whether this node is to read it.
        error: Why this node's last read failed.
        list_doubted: Whether the list of instances changed too much at once.
        behind: Teams whose revision there is lower than in force here.
    """

    age_s: float
    reader: bool
    calls: int
    error: str
    list_doubted: bool
    behind: list[str]


@dataclasses.dataclass(slots=True)
class Status:
    """The fleet as one node sees it."""

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


def collect(
    name: str,
    state: str,
    members: table.MemberTable,
    settings: store.SettingsStore,
    reads: service.PlatformReads,
    local: Iterable[workers.LocalWorker],
) -> Status:
    """Collects the status of a node."""
    teams = sorted(set(settings.subtrees) | set(settings.refused))
    return Status(
        name,
        state == "serving",
        state,
        [_member(entry) for entry in members.entries.values()],
        [_team(t, settings, reads) for t in teams],
        _platform(reads),
        _targets(members),
        [
            WorkerStatus(w.name, w.service, w.in_flight, w.slots, w.drained)
            for w in local
        ],
    )


def _targets(members: table.MemberTable) -> list[TargetStatus]:
    return [
        TargetStatus(w.name, w.service, entry.name, w.ejected)
        for entry in members.entries.values()
        if entry.member is not None and entry.alive
        for w in entry.member.workers
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
    team: str, settings: store.SettingsStore, reads: service.PlatformReads
) -> TeamStatus:
    refused_revision, faults = settings.refused.get(team, (0, []))
    return TeamStatus(
        team,
        settings.revision(team),
        refused_revision,
        [str(f) for f in faults],
        reads.reader.revisions.get(team, 0),
    )


def _platform(reads: service.PlatformReads) -> PlatformStatus:
    age_s = reads.age_s
    return PlatformStatus(
        -1.0 if age_s is None else round(age_s, 1),
        reads.rank.is_reader(),
        reads.client.calls,
        reads.reader.last_error,
        reads.listing.doubted,
        reads.reader.behind,
    )
