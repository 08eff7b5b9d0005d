"""Application of the admin listener, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from tornado import web

from sardinedoor_node.admin import explain
from sardinedoor_node.admin import metricspage

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import collectors


class _StatusHandler(web.RequestHandler):
    def initialize(self, read_status: Callable[[], object]) -> None:
        self._read_status = read_status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._read_status()))


class _ExplainHandler(web.RequestHandler):
    def initialize(
        self, explain_request: Callable[[explain.Question], explain.Explanation]
    ) -> None:
        self._explain_request = explain_request

    def get(self) -> None:
        question = explain.Question(
            self.get_query_argument("method", "GET"),
            self.get_query_argument("path", "/", strip=False),
            self.get_query_argument("visibility", "public") == "public",
        )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._explain_request(question)))


def make_application(
    registry: collectors.Registry,
    read_status: Callable[[], object],
    explain_request: Callable[[explain.Question], explain.Explanation],
) -> web.Application:
    """Builds the application of the admin listener.

    Args:
        registry: The node's metrics.
        read_status: Returns the data of the status page, to be encoded as JSON.
        explain_request: Explains how a request would be routed.
    """
    return web.Application(
        [
            ("/metrics", metricspage.MetricsHandler, {"registry": registry}),
            ("/status", _StatusHandler, {"read_status": read_status}),
            ("/explain", _ExplainHandler, {"explain_request": explain_request}),
        ],
        log_function=lambda handler: None,
    )
