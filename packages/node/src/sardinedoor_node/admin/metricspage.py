"""Prometheus endpoint with the node's metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import renderer
from tornado import web

if TYPE_CHECKING:
    from aioprometheus import collectors


class MetricsHandler(web.RequestHandler):
    """Renders the metrics of a registry in a Prometheus format."""

    def initialize(self, registry: collectors.Registry) -> None:
        """See base class."""
        self._registry = registry

    def get(self) -> None:
        """Handles a scrape; the Accept header selects the format."""
        accept_headers = self.request.headers.get_list("Accept")
        content, response_headers = renderer.render(
            self._registry, accept_headers
        )
        for name, value in response_headers.items():
            self.set_header(name, value)
        self.finish(content)


def make_application(registry: collectors.Registry) -> web.Application:
    """Builds an application that serves only the metrics."""
    return web.Application(
        [("/metrics", MetricsHandler, {"registry": registry})],
        log_function=lambda handler: None,
    )
