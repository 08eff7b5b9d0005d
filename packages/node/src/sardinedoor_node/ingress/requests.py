"""A caller's request, and what serves it."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

MAX_BODY_BYTES = 1024 * 1024

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_node.ingress import connection
    from sardinedoor_node.ingress import paths
    from sardinedoor_node.ingress import routes
    from sardinedoor_schema import codes


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes:
        connection: Takes the response.
        method: Its method.
        raw_target: The target as received.
        headers: All headers as received.
        public: Whether it came from outside.
        remote_ip: The address it came from.
        secure: Whether its connection uses TLS.
        refusal: Code to refuse it with, found from the head alone.
        target: The normalised target.
        route: The route that serves it.
        body: The whole body.
    """

    connection: connection.RequestConnection
    method: str
    raw_target: str
    headers: httputil.HTTPHeaders
    public: bool
    remote_ip: str
    secure: bool
    refusal: codes.Code | None = None
    target: paths.Target | None = None
    route: routes.Route | None = None
    body: bytes = b""


class Handler(abc.ABC):
    """Serves requests."""

    @property
    def max_body_bytes(self) -> int:
        """Longest body of a request that is read."""
        return MAX_BODY_BYTES

    @abc.abstractmethod
    def check(self, request: Request) -> codes.Code | None:
        """Checks a request from its head alone; returns a refusal."""

    @abc.abstractmethod
    async def serve(self, request: Request) -> None:
        """Responds to a request that was read whole."""
