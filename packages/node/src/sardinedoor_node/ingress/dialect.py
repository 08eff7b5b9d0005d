"""Interface for the HTTP headers and statuses that callers use."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_schema import codes
    from sardinedoor_schema.generated import wire


class CallerDialect(abc.ABC):
    """HTTP headers and statuses that callers send and expect.

    A dialect translates between them and the ingress's own types; it makes no
    routing or retry decision.
    """

    @abc.abstractmethod
    def request_id(self, headers: httputil.HTTPHeaders) -> str:
        """Returns the caller's id of this attempt; empty if it sent none."""

    @abc.abstractmethod
    def remaining_s(self, headers: httputil.HTTPHeaders) -> float | None:
        """Returns the caller's remaining timeout, in s; None if not given."""

    @abc.abstractmethod
    def credential(self, headers: httputil.HTTPHeaders) -> str | None:
        """Returns the key that the caller presents.

        Returns:
            The key; empty if the caller presents none, None if it can't be
            told from the headers.
        """

    @abc.abstractmethod
    def forwarded_headers(
        self, headers: httputil.HTTPHeaders, organisation: str | None
    ) -> list[wire.Header]:
        """Returns the headers that the ingress forwards to a target.

        Args:
            headers: The headers of the request.
            organisation: Organisation of the caller, empty if it presents no
                key. The key is not forwarded. None if the configuration has
                no organisations.
        """

    @abc.abstractmethod
    def status(self, code: codes.Code) -> int:
        """Returns the HTTP status for a request without a target's reply."""

    @abc.abstractmethod
    def refusal_headers(
        self, code: codes.Code, request_id: str, retry_after_s: float
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a response without a target's reply.

        Args:
            code: Result code of the request.
            request_id: The caller's id of this attempt.
            retry_after_s: Delay after which the caller may retry, in s; to be
                sent only if the request was not run.
        """
