"""Ownership of services and routes by teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_schema import faults
from sardinedoor_schema import ini

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardinedoor_node.settings import tree
    from sardinedoor_schema.generated import settings

RouteKey = tuple[str, bool]


def route_key(route: settings.RouteSettings) -> RouteKey:
    """Returns the key that must be unique among the teams' routes."""
    return route.path.rstrip("/"), route.visibility == "public"


class Ownership:
    """Tracks which team owns each service name and each route.

    The first team that uses a name or a route owns it until it is removed.
    """

    def __init__(self) -> None:
        self._services: dict[str, str] = {}
        self._routes: dict[RouteKey, str] = {}

    def find_faults(
        self, old: tree.Subtree | None, new: tree.Subtree
    ) -> list[ini.Fault]:
        """Finds conflicts with other teams and unconfirmed removals.

        Args:
            old: The team's subtree in force, None for a new team.
            new: The team's subtree to check.

        Returns:
            The faults, empty if the subtree may be put in force.
        """
        found = [
            _make_fault(
                new,
                f"service {name}",
                f"belongs to team {self._services[name]}",
                faults.FaultCode.SERVICE_OF_OTHER_TEAM,
            )
            for name in new.services
            if self._services.get(name, new.team) != new.team
        ]
        for name, route in new.routes.items():
            owner = self._routes.get(route_key(route), new.team)
            if owner != new.team:
                found.append(
                    _make_fault(
                        new,
                        f"route {name}",
                        f"path {route.path} belongs to team {owner}",
                        faults.FaultCode.ROUTE_OF_OTHER_TEAM,
                    )
                )
        found.extend(_unconfirmed_removals(old, new))
        return found

    def replace(self, old: tree.Subtree | None, new: tree.Subtree) -> None:
        """Releases the names of the old subtree and claims those of the new."""
        if old is not None:
            for name in old.services:
                self._services.pop(name, None)
            for route in old.routes.values():
                self._routes.pop(route_key(route), None)
        for name in new.services:
            self._services[name] = new.team
        for route in new.routes.values():
            self._routes[route_key(route)] = new.team


def _unconfirmed_removals(
    old: tree.Subtree | None, new: tree.Subtree
) -> Iterator[ini.Fault]:
    if old is None:
        return
    for name, service in old.services.items():
        if name in new.confirm_removal:
            continue
        kept = new.services.get(name)
        if kept is not None and set(kept.workers) & set(service.workers):
            continue
        yield _make_fault(
            new,
            f"service {name}",
            "keeps none of its workers; confirm with confirm_removal in [team]",
            faults.FaultCode.REMOVES_ALL_WORKERS,
        )


def _make_fault(
    subtree: tree.Subtree, section: str, reason: str, code: faults.FaultCode
) -> ini.Fault:
    return ini.Fault(subtree.team, section, "", reason, code)
