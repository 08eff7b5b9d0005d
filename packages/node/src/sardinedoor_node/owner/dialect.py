"""Translation of requests and responses between the product and targets."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

from sardinedoor_node.limits import deadlines
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_schema.generated import wire


class TargetDialect(abc.ABC):
    """Translates the headers that targets expect and send."""

    @abc.abstractmethod
    def translate_request(
        self, request: wire.Request, worker: str, remaining_s: float
    ) -> wire.Request:
        """Returns a request with the headers that its target expects.

        Args:
            request: The request as forwarded by the ingress.
            worker: Name of the worker that runs it.
            remaining_s: Time left until the deadline, in s.
        """

    def is_response_to(
        self, request: wire.Request, headers: httputil.HTTPHeaders
    ) -> bool:
        """Returns whether a response with these headers answers a request.

        Args:
            request: The request as sent to the target.
            headers: Headers of the response.
        """
        del request, headers
        return True

    def classify_response(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> codes.Code:
        """Returns the result code of a request from its complete response.

        Args:
            status: HTTP status of the response.
            headers: Headers of the response.
        """
        del status, headers
        return codes.Code.ANSWERED

    def idle_timeout_s(self, headers: httputil.HTTPHeaders) -> float:
        """Returns how long the connection may stay idle, in s.

        Args:
            headers: Headers of the last response on it.
        """
        del headers
        return math.inf


class PlainDialect(TargetDialect):
    """Plain HTTP with the remaining time in a header."""

    def translate_request(
        self, request: wire.Request, worker: str, remaining_s: float
    ) -> wire.Request:
        """See base class."""
        del worker
        return deadlines.with_remaining(request, remaining_s)
