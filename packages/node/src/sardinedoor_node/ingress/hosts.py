"""Matching of requests to routes by host and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import published


class HostRoutes:
    """Routes by host; the longest prefix that begins the path wins."""

    def __init__(self, configuration: published.Configuration):
        """Indexes the routes of a configuration."""
        self.version = configuration.version
        self._hosts: dict[str, dict[str, published.Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> published.Route | None:
        """Finds the route of a request.

        Args:
            host: The Host header, with or without a port.
            path: Path of the request without its query.
        """
        name = host.partition(":")[0].lower()
        prefixes = self._hosts.get(name)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
