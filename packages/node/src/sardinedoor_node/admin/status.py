"""What the status page shows."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """One member as this node sees it."""

    name: str
    alive: bool
    leaving: bool
    workers: list[str]


@dataclasses.dataclass(slots=True)
class TargetStatus:
    """One target as this node sees it."""

    worker: str
    service: str
    node: str
    ejected: bool


@dataclasses.dataclass(slots=True)
class TeamStatus:
    """Settings of one team in force on this node."""

    team: str
    revision: int
    refused_revision: int
    faults: list[str]


@dataclasses.dataclass(slots=True)
class Status:
    """The fleet as one node sees it."""

    node: str
    ready: bool
    members: list[MemberStatus]
    teams: list[TeamStatus]
    targets: list[TargetStatus]


def collect(
    name: str,
    ready: bool,
    members: table.MemberTable,
    settings: store.SettingsStore,
) -> Status:
    """Collects the status of a node."""
    member_rows = [
        MemberStatus(
            entry.name,
            entry.alive,
            entry.leaving,
            [w.name for w in entry.member.workers] if entry.member else [],
        )
        for entry in members.entries.values()
    ]
    teams = sorted(set(settings.subtrees) | set(settings.refused))
    return Status(
        name,
        ready,
        member_rows,
        [_team(t, settings) for t in teams],
        _targets(members),
    )


def _targets(members: table.MemberTable) -> list[TargetStatus]:
    return [
        TargetStatus(w.name, w.service, entry.name, w.ejected)
        for entry in members.entries.values()
        if entry.member is not None and entry.alive
        for w in entry.member.workers
    ]


def _team(team: str, settings: store.SettingsStore) -> TeamStatus:
    refused_revision, faults = settings.refused.get(team, (0, []))
    return TeamStatus(
        team,
        settings.revision(team),
        refused_revision,
        [str(f) for f in faults],
    )
