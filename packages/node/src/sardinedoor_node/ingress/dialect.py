"""Translation between callers' HTTP conventions and those of the system."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_schema import codes
    from sardinedoor_schema.generated import wire


class CallerDialect(abc.ABC):
    """Headers and statuses by which callers and the system communicate.

    A dialect only translates; it makes no routing or retry decision.
    """

    @abc.abstractmethod
    def request_id(self, headers: httputil.HTTPHeaders) -> str:
        """Returns the id of the caller's attempt; empty if it sent none."""

    @abc.abstractmethod
    def remaining_s(self, headers: httputil.HTTPHeaders) -> float | None:
        """Returns the caller's remaining timeout, in s; None if not given."""

    @abc.abstractmethod
    def forwarded_headers(
        self, headers: httputil.HTTPHeaders
    ) -> list[wire.Header]:
        """Returns the headers that the ingress forwards to a target."""

    @abc.abstractmethod
    def status(self, code: codes.Code) -> int:
        """Returns the HTTP status for a result code without a reply."""

    @abc.abstractmethod
    def refusal_headers(
        self, code: codes.Code, request_id: str, retry_after_s: float
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a response that the system generates.

        Args:
            code: Result code of the request.
            request_id: Id of the caller's attempt.
            retry_after_s: Delay after which the caller may retry, in s;
                meant for requests that were not run.
        """
