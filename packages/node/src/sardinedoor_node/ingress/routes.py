"""Matching of requests to the routes of the teams' settings."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import result

from sardinedoor_node.ingress import paths
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.settings import tree
    from sardinedoor_schema.generated import settings

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# CONNECT tunnels aren't supported. TRACE and TRACK would echo internal headers
# to the caller.
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE", "TRACK"})


@dataclasses.dataclass(slots=True)
class Route:
    """A route with its origin.

    Attributes:
        name: Its name, unique within the team.
        team: Team that owns it.
        revision: Revision of the team's settings that define it.
        settings: Its settings.
    """

    name: str
    team: str
    revision: int
    settings: settings.RouteSettings

    def is_idempotent(self, method: str) -> bool:
        """Returns whether requests with a method are idempotent."""
        if self.settings.idempotent == "method":
            return method in _IDEMPOTENT_METHODS
        return self.settings.idempotent == "yes"


class RouteTable:
    """Routes matched by the longest path prefix.

    A request from outside never falls back from an internal route to a public
    one with a shorter prefix. For this check internal prefixes are compared
    with the path as the most lenient target would interpret it.
    """

    def __init__(self, subtrees: Iterable[tree.Subtree]):
        """Indexes the routes of all subtrees.

        Args:
            subtrees: The settings of the teams, one subtree for each team.
        """
        self._routes: dict[tuple[str, bool], Route] = {}
        self._internal_prefixes: collections.Counter[str] = (
            collections.Counter()
        )
        for subtree in subtrees:
            self.replace(None, subtree)

    def replace(self, old: tree.Subtree | None, new: tree.Subtree) -> None:
        """Replaces the routes of one team.

        Args:
            old: The team's subtree that is indexed now; None if there is none.
            new: The subtree to index instead.
        """
        for route in old.routes.values() if old is not None else ():
            self._remove(new.team, route)
        for name, route in new.routes.items():
            self._add(Route(name, new.team, new.revision, route))

    def _remove(self, team: str, route: settings.RouteSettings) -> None:
        prefix = route.path.rstrip("/")
        public = route.visibility == "public"
        indexed = self._routes.get((prefix, public))
        if indexed is not None and indexed.team == team:
            del self._routes[prefix, public]
        if not public:
            folded = paths.fold(prefix)
            self._internal_prefixes[folded] -= 1
            if not self._internal_prefixes[folded]:
                del self._internal_prefixes[folded]

    def _add(self, route: Route) -> None:
        prefix = route.settings.path.rstrip("/")
        public = route.settings.visibility == "public"
        self._routes.setdefault((prefix, public), route)
        if not public:
            self._internal_prefixes[paths.fold(prefix)] += 1

    def match(
        self, method: str, path: str, public: bool
    ) -> result.Result[Route, codes.Code]:
        """Finds the route of a request.

        Args:
            method: The request's method.
            path: The request's normalised path without the query.
            public: Whether the request arrived on a public listener.

        Returns:
            The route, or the code to refuse the request with.
        """
        route = self._match_longest_prefix(path, public)
        if route is None:
            return result.Err(codes.Code.NO_ROUTE)
        methods = route.settings.methods
        if method in _REFUSED_METHODS or (methods and method not in methods):
            return result.Err(codes.Code.METHOD_NOT_ALLOWED)
        return result.Ok(route)

    def _match_longest_prefix(self, path: str, public: bool) -> Route | None:
        prefix = path.rstrip("/")
        while True:
            route = self._routes.get((prefix, True))
            if route is None and not public:
                route = self._routes.get((prefix, False))
            if route is not None or not prefix:
                break
            prefix = prefix.rpartition("/")[0]
        if (
            public
            and route is not None
            and self._matches_longer_internal_prefix(path, prefix)
        ):
            return None
        return route

    def _matches_longer_internal_prefix(
        self, path: str, matched_prefix: str
    ) -> bool:
        """Returns whether an internal route has a longer matching prefix."""
        folded = paths.fold(path.rstrip("/"))
        depth = matched_prefix.count("/")
        while folded.count("/") > depth:
            if folded in self._internal_prefixes:
                return True
            folded = folded.rpartition("/")[0]
        return False
