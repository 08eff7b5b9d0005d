"""A caller's request, and the interface of its handlers."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

MAX_BODY_BYTES = 1024 * 1024

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_node import published
    from sardinedoor_node.ingress import connection
    from sardinedoor_node.ingress import paths
    from sardinedoor_node.ingress import reader
    from sardinedoor_node.ingress import routes
    from sardinedoor_schema import codes


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes:
        connection: Connection that the response is written to.
        method: Its HTTP method.
        raw_target: The request target as received.
        headers: All headers as received.
        public: Whether it arrived on a public listener.
        remote_ip: IP address of the peer of its connection.
        secure: Whether its connection uses TLS.
        refusal: Result code to refuse it with, as found from its head; None
            if it is acceptable.
        target: The normalised request target.
        route: The route that matches it.
        body: The whole body.
        organisation: Organisation on whose behalf it is made, if known.
        caller_connection: State of the connection, for the limits on what is
            held for callers; None in tests.
    """

    connection: connection.RequestConnection
    method: str
    raw_target: str
    headers: httputil.HTTPHeaders
    public: bool
    remote_ip: str
    secure: bool
    refusal: codes.Code | None = None
    target: paths.RequestTarget | None = None
    route: routes.Route | None = None
    body: bytes = b""
    organisation: published.Organisation | None = None
    caller_connection: reader.CallerConnection | None = None


class Handler(abc.ABC):
    """Checks and serves requests that a server has read."""

    @property
    def max_body_bytes(self) -> int:
        """Largest accepted size of a request body, in bytes."""
        return MAX_BODY_BYTES

    @abc.abstractmethod
    def check(self, request: Request) -> codes.Code | None:
        """Checks a request before its body is read.

        Args:
            request: The request; its route is set if one matches.

        Returns:
            The code to refuse it with, or None to accept it.
        """

    @abc.abstractmethod
    async def serve(self, request: Request) -> None:
        """Responds to a request that was read whole.

        Args:
            request: The request; `refusal` is set if it must be refused.
        """
