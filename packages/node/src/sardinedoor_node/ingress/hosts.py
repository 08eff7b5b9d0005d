"""Matching of requests to published routes by host and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import published


class HostRoutes:
    """Routes of each host, matched by the longest path prefix.

    A prefix ends with a slash and matches whole path segments.
    """

    def __init__(self, configuration: published.Configuration):
        """Indexes the routes of a configuration.

        Args:
            configuration: The published configuration.
        """
        self.version = configuration.version
        self._routes_by_host: dict[str, dict[str, published.Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = (
                route
            )

    def match(self, host: str, path: str) -> published.Route | None:
        """Finds the route of a request.

        Args:
            host: The Host header, with or without a port.
            path: Path of the request without its query.

        Returns:
            The route, or None if none matches.
        """
        host_name = host.partition(":")[0].lower()
        routes_by_prefix = self._routes_by_host.get(host_name)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None
