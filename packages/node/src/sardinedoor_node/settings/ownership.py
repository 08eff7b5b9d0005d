"""Which team a service and a route belong to, and what an edit may take."""

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
    """Returns what no two teams' routes may share."""
    return route.path.rstrip("/"), route.visibility == "public"


class Ownership:
    """Names in use, by team; the first team to use one keeps it."""

    def __init__(self) -> None:
        self._services: dict[str, str] = {}
        self._routes: dict[RouteKey, str] = {}

    def check(
        self, old: tree.Subtree | None, new: tree.Subtree
    ) -> list[ini.Fault]:
        """Lists what a subtree takes from other teams, or from its own.

        Args:
            old: The team's subtree in force.
            new: The one to check.
        """
        found = [
            _fault(
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
                    _fault(
                        new,
                        f"route {name}",
                        f"path {route.path} belongs to team {owner}",
                        faults.FaultCode.ROUTE_OF_OTHER_TEAM,
                    )
                )
        found.extend(_removals(old, new))
        return found

    def replace(self, old: tree.Subtree | None, new: tree.Subtree) -> None:
        """Gives up what the old subtree used, and takes what the new does."""
        if old is not None:
            for name in old.services:
                self._services.pop(name, None)
            for route in old.routes.values():
                self._routes.pop(route_key(route), None)
        for name in new.services:
            self._services[name] = new.team
        for route in new.routes.values():
            self._routes[route_key(route)] = new.team


def _removals(
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
        yield _fault(
            new,
            f"service {name}",
            "keeps none of its workers; confirm by confirm_removal in [team]",
            faults.FaultCode.REMOVES_ALL_WORKERS,
        )


def _fault(
    subtree: tree.Subtree, section: str, reason: str, code: faults.FaultCode
) -> ini.Fault:
    return ini.Fault(subtree.team, section, "", reason, code)
