"""Index of targets by service, kept up to date member by member."""

from __future__ import annotations

import dataclasses
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire


@dataclasses.dataclass(slots=True)
class Target:
    """A worker of a service, and the node that owns it.

    Attributes:
        node: Name of the node that owns the worker.
        ejected: Whether the node reports it as ejected.
        failure_domain: Failure domain of the node.
        slots: Number of requests that it runs at the same time.
        started_ms: Unix time of its start, in ms; 0 if unknown.
    """

    worker: str
    service: str
    node: str
    ejected: bool
    failure_domain: str = ""
    slots: int = 3
    started_ms: int = 0


class TargetIndex:
    """Targets that usable members own.

    The list of a service is replaced rather than changed, so that callers
    may keep it and compare it by identity.
    """

    def __init__(self) -> None:
        self._services: dict[str, list[Target]] = {}
        self._members: dict[str, wire.Member] = {}

    def targets(self, service: str) -> list[Target]:
        """Returns the targets of a service; the list isn't modified later."""
        return self._services.get(service, [])

    def replace(self, member: wire.Member) -> None:
        """Replaces the targets of one member."""
        if self._members.get(member.name) is member:
            return
        self.remove(member.name)
        self._members[member.name] = member
        for service, workers in _by_service(member).items():
            added = [
                Target(
                    worker.name,
                    service,
                    member.name,
                    worker.ejected,
                    member.failure_domain,
                )
                for worker in workers
            ]
            self._services[service] = self.targets(service) + added

    def remove(self, name: str) -> None:
        """Removes the targets of one member."""
        member = self._members.pop(name, None)
        if member is None:
            return
        for service in {w.service for w in member.workers}:
            remaining = [t for t in self.targets(service) if t.node != name]
            if remaining:
                self._services[service] = remaining
            else:
                del self._services[service]


def _by_service(member: wire.Member) -> dict[str, list[wire.Worker]]:
    services: dict[str, list[wire.Worker]] = {}
    for worker in member.workers:
        services.setdefault(sys.intern(worker.service), []).append(worker)
    return services
