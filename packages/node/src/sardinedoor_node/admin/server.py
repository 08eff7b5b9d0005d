"""HTTP listener for operators."""

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
    def initialize(self, status: Callable[[], object]) -> None:
        self._status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._status()))


class _ExplainHandler(web.RequestHandler):
    def initialize(
        self, answer: Callable[[explain.Question], explain.Explanation]
    ) -> None:
        self._answer = answer

    def get(self) -> None:
        question = explain.Question(
            self.get_query_argument("method", "GET"),
            self.get_query_argument("path", "/", strip=False),
            self.get_query_argument("visibility", "public") == "public",
        )
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._answer(question)))


def make_application(
    registry: collectors.Registry,
    status: Callable[[], object],
    answer: Callable[[explain.Question], explain.Explanation],
) -> web.Application:
    """Builds the application of the admin listener.

    Args:
        registry: The node's metrics.
        status: Returns what the status page shows.
        answer: Explains what would become of a request.
    """
    return web.Application(
        [
            ("/metrics", metricspage.MetricsHandler, {"registry": registry}),
            ("/status", _StatusHandler, {"status": status}),
            ("/explain", _ExplainHandler, {"answer": answer}),
        ],
        log_function=lambda handler: None,
    )
