"""Translation of requests and responses between the product and targets."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

from sardinedoor_node.limits import deadlines
from sardinedoor_node.owner import announcements
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_schema.generated import wire


REQUEST_ID_HEADER = "X-Request-Id"
# A draining worker sets this header on all its responses, also to probes.
LEAVING_HEADER = "Sardinedoor-Leaving"
# Requests per second that a worker accepts, on all responses while it does.
RATE_LIMIT_HEADER = "Sardinedoor-Rate-Limit"


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

    @abc.abstractmethod
    def request_id(self, request: wire.Request) -> str:
        """Returns the id by which a target names a request, empty for none."""

    @abc.abstractmethod
    def answered_id(self, headers: httputil.HTTPHeaders) -> str:
        """Returns the id of the request that a response names.

        Args:
            headers: Headers of the response.

        Returns:
            The id; empty if the response names none.
        """

    @property
    def requires_answered_id(self) -> bool:
        """Whether each response names its request."""
        return False

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

    @abc.abstractmethod
    def announcement(
        self, headers: httputil.HTTPHeaders
    ) -> announcements.Announcement:
        """Returns what a target announces of itself.

        Args:
            headers: Headers of a response.
        """

    def idle_timeout_s(self, headers: httputil.HTTPHeaders) -> float:
        """Returns how long the connection may stay idle, in s.

        Args:
            headers: Headers of the last response on it.
        """
        del headers
        return math.inf


class PlainDialect(TargetDialect):
    """Plain HTTP with the remaining time in a header.

    Targets may echo the id of a request.
    """

    def translate_request(
        self, request: wire.Request, worker: str, remaining_s: float
    ) -> wire.Request:
        """See base class."""
        del worker
        return deadlines.with_remaining(request, remaining_s)

    def request_id(self, request: wire.Request) -> str:
        """See base class."""
        name = REQUEST_ID_HEADER.lower()
        return next(
            (h.value for h in request.headers if h.name.lower() == name), ""
        )

    def answered_id(self, headers: httputil.HTTPHeaders) -> str:
        """See base class."""
        return headers.get(REQUEST_ID_HEADER, "")

    def announcement(
        self, headers: httputil.HTTPHeaders
    ) -> announcements.Announcement:
        """See base class; any value announces that a target is leaving."""
        announcement = announcements.Announcement(
            leaving=LEAVING_HEADER in headers
        )
        announcement.read_rate_limit(headers, RATE_LIMIT_HEADER)
        return announcement
