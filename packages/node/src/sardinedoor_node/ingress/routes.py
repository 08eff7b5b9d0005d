"""Matching of requests to routes."""

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
# A tunnel can't be served, and an echo would show a caller internal headers.
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE", "TRACK"})


@dataclasses.dataclass(slots=True)
class Route:
    """A route and the revision of the settings that it comes from."""

    name: str
    team: str
    revision: int
    settings: settings.RouteSettings

    def is_idempotent(self, method: str) -> bool:
        """Tells whether requests with this method are idempotent."""
        if self.settings.idempotent == "method":
            return method in _IDEMPOTENT_METHODS
        return self.settings.idempotent == "yes"


class RouteTable:
    """Routes by path prefix; the longest prefix wins.

    A public caller never gets past an internal route to a shorter public
    one: the internal prefix is compared with the path as the most lenient
    target would read it.
    """

    def __init__(self, subtrees: Iterable[tree.Subtree]):
        """Indexes the routes of all subtrees."""
        self._routes: dict[tuple[str, bool], Route] = {}
        self._internal: collections.Counter[str] = collections.Counter()
        for subtree in subtrees:
            self.replace(None, subtree)

    def replace(self, old: tree.Subtree | None, new: tree.Subtree) -> None:
        """Replaces the routes of one team.

        Args:
            old: The team's subtree that is indexed now, if any.
            new: The one to index.
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
            self._internal[folded] -= 1
            if not self._internal[folded]:
                del self._internal[folded]

    def _add(self, route: Route) -> None:
        prefix = route.settings.path.rstrip("/")
        public = route.settings.visibility == "public"
        self._routes.setdefault((prefix, public), route)
        if not public:
            self._internal[paths.fold(prefix)] += 1

    def match(
        self, method: str, path: str, public: bool
    ) -> result.Result[Route, codes.Code]:
        """Finds the route of a request.

        Args:
            method: The request's method.
            path: The request's normalised path without the query.
            public: Whether the request came from outside.

        Returns:
            The route, or the code to refuse with.
        """
        route = self._longest(path, public)
        if route is None:
            return result.Err(codes.Code.NO_ROUTE)
        methods = route.settings.methods
        if method in _REFUSED_METHODS or (methods and method not in methods):
            return result.Err(codes.Code.METHOD_NOT_ALLOWED)
        return result.Ok(route)

    def _longest(self, path: str, public: bool) -> Route | None:
        prefix = path.rstrip("/")
        while True:
            route = self._routes.get((prefix, True))
            if route is None and not public:
                route = self._routes.get((prefix, False))
            if route is not None or not prefix:
                break
            prefix = prefix.rpartition("/")[0]
        if public and route is not None and self._hidden(path, prefix):
            return None
        return route

    def _hidden(self, path: str, matched: str) -> bool:
        folded = paths.fold(path.rstrip("/"))
        depth = matched.count("/")
        while folded.count("/") > depth:
            if folded in self._internal:
                return True
            folded = folded.rpartition("/")[0]
        return False
