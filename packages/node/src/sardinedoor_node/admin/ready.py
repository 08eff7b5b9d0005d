"""Readiness endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import web

if TYPE_CHECKING:
    from collections.abc import Callable


class _ReadyHandler(web.RequestHandler):
    """Responds with 200 if the node is ready, otherwise with 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


def make_application(
    path: str, is_ready: Callable[[], bool]
) -> web.Application:
    """Builds the application of the readiness listener.

    Args:
        path: Path of the endpoint.
        is_ready: Returns whether the node accepts requests.
    """
    return web.Application(
        [(path, _ReadyHandler, {"is_ready": is_ready})],
        log_function=lambda handler: None,
    )
