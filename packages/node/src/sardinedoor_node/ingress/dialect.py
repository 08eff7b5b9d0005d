"""How callers put requests and read answers; a dialect never decides."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_schema import codes
    from sardinedoor_schema.generated import wire


class CallerDialect(abc.ABC):
    """Headers and statuses that callers know."""

    @abc.abstractmethod
    def request_id(self, headers: httputil.HTTPHeaders) -> str:
        """Returns the id of the caller's attempt; empty if it has none."""

    @abc.abstractmethod
    def remaining_s(self, headers: httputil.HTTPHeaders) -> float | None:
        """Returns how long the caller waits, in s; None if unsaid."""

    @abc.abstractmethod
    def forwarded(self, headers: httputil.HTTPHeaders) -> list[wire.Header]:
        """Returns the headers that a target gets from the ingress."""

    @abc.abstractmethod
    def status(self, code: codes.Code) -> int:
        """Returns the status that tells a caller of an outcome."""

    @abc.abstractmethod
    def refusal_headers(
        self, code: codes.Code, request_id: str, retry_after_s: float
    ) -> httputil.HTTPHeaders:
        """Returns the headers of an answer that the system makes itself.

        Args:
            code: What became of the request.
            request_id: Id of the caller's attempt.
            retry_after_s: When the caller may come back, in s, if the
                request was not run.
        """
