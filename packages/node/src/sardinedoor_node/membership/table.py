"""The members a node knows of."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import wire


@dataclasses.dataclass(slots=True)
class Target:
    """A worker, and the node through which work reaches it."""

    worker: str
    service: str
    node: str
    ejected: bool


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of one member."""

    name: str
    link: str
    member: wire.Member | None = None
    alive: bool = False
    leaving: bool = False
    misses: int = 0


class MemberTable:
    """Members from the platform's list, and what they said of themselves."""

    def __init__(self, own: wire.Member):
        """Starts with the node itself as only member.

        Args:
            own: The node's own record.
        """
        self._own = own
        self._entries: dict[str, Entry] = {}
        self._targets: dict[str, list[Target]] = {}
        self.heard(own)

    @property
    def own(self) -> wire.Member:
        """The node's own record."""
        return self._own

    @property
    def entries(self) -> dict[str, Entry]:
        """All known members by name."""
        return self._entries

    def peers(self) -> list[Entry]:
        """Lists all members but the node itself."""
        return [e for e in self._entries.values() if e.name != self._own.name]

    def targets(self, service: str) -> list[Target]:
        """Lists the workers of a service that live members own."""
        return self._targets.get(service, [])

    def set_instances(self, instances: list[platform.Instance]) -> None:
        """Takes the platform's list; members are added, none removed."""
        for instance in instances:
            entry = self._entries.get(instance.name)
            if entry is None:
                entry = Entry(instance.name, instance.link)
                self._entries[instance.name] = entry
            if instance.state == "leaving":
                entry.leaving = True
        self._rebuild()

    def heard(self, member: wire.Member) -> None:
        """Takes what a member says of itself."""
        entry = self._entries.get(member.name)
        if entry is None:
            entry = Entry(member.name, member.link)
            self._entries[member.name] = entry
        old = entry.member
        if old is not None and old.incarnation != member.incarnation:
            entry.leaving = False
        entry.member = member
        entry.link = member.link
        entry.alive = True
        entry.misses = 0
        entry.leaving = entry.leaving or member.leaving
        self._rebuild()

    def missed(self, name: str, limit: int) -> None:
        """Counts an unanswered probe; at the limit the member is dead."""
        entry = self._entries[name]
        entry.misses += 1
        if entry.misses >= limit and entry.alive:
            entry.alive = False
            self._rebuild()

    def _rebuild(self) -> None:
        targets: dict[str, list[Target]] = {}
        for entry in self._entries.values():
            if entry.member is None or not entry.alive or entry.leaving:
                continue
            for worker in entry.member.workers:
                target = Target(
                    worker.name, worker.service, entry.name, worker.ejected
                )
                targets.setdefault(worker.service, []).append(target)
        self._targets = targets
