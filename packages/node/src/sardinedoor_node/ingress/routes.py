"""Matching of requests to routes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import result

from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.settings import tree
    from sardinedoor_schema.generated import settings

_IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)


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
    """Routes by path prefix; the longest prefix wins."""

    def __init__(self, subtrees: Iterable[tree.Subtree]):
        """Indexes the routes of all subtrees."""
        self._routes: dict[tuple[str, bool], Route] = {}
        for subtree in subtrees:
            for name, route in subtree.routes.items():
                prefix = route.path.rstrip("/")
                public = route.visibility == "public"
                entry = Route(name, subtree.team, subtree.revision, route)
                self._routes.setdefault((prefix, public), entry)

    def match(
        self, method: str, path: str, public: bool
    ) -> result.Result[Route, codes.Code]:
        """Finds the route of a request.

        Args:
            method: The request's method.
            path: The request's path without the query.
            public: Whether the request came from outside.

        Returns:
            The route, or the code to refuse with.
        """
        route = self._longest(path, public)
        if route is None:
            return result.Err(codes.Code.NO_ROUTE)
        methods = route.settings.methods
        if methods and method not in methods:
            return result.Err(codes.Code.METHOD_NOT_ALLOWED)
        return result.Ok(route)

    def _longest(self, path: str, public: bool) -> Route | None:
        prefix = path.rstrip("/")
        while True:
            route = self._routes.get((prefix, True))
            if route is None and not public:
                route = self._routes.get((prefix, False))
            if route is not None or not prefix:
                return route
            prefix = prefix.rpartition("/")[0]
