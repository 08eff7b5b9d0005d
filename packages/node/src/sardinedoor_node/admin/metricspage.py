"""The page with the node's metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import renderer
from tornado import web

if TYPE_CHECKING:
    from aioprometheus import collectors


class MetricsHandler(web.RequestHandler):
    """Renders the metrics of a registry."""

    def initialize(self, registry: collectors.Registry) -> None:
        """See base class."""
        self._registry = registry

    def get(self) -> None:
        """Answers a scrape."""
        accepts = self.request.headers.get_list("Accept")
        content, found = renderer.render(self._registry, accepts)
        for name, value in found.items():
            self.set_header(name, value)
        self.finish(content)


def make_application(registry: collectors.Registry) -> web.Application:
    """Builds an application with nothing but the metrics."""
    return web.Application(
        [("/metrics", MetricsHandler, {"registry": registry})],
        log_function=lambda handler: None,
    )
