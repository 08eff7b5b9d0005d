"""How requests are put to targets, and how their answers are read."""

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
    """Headers that targets expect and send; it translates only."""

    @abc.abstractmethod
    def prepare(
        self, request: wire.Request, worker: str, remaining_s: float
    ) -> wire.Request:
        """Returns a request as its target expects it.

        Args:
            request: The request as the ingress passed it on.
            worker: Name of the worker that is to run it.
            remaining_s: Time left, in s.
        """

    def is_answer(
        self, request: wire.Request, headers: httputil.HTTPHeaders
    ) -> bool:
        """Tells whether a response belongs to a request."""
        del request, headers
        return True

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> codes.Code:
        """Tells what a whole response says became of its request."""
        del status, headers
        return codes.Code.ANSWERED

    def keep_idle_s(self, headers: httputil.HTTPHeaders) -> float:
        """Returns how long the connection may stay idle, in s."""
        del headers
        return math.inf


class PlainDialect(TargetDialect):
    """Plain HTTP with the time left in a header."""

    def prepare(
        self, request: wire.Request, worker: str, remaining_s: float
    ) -> wire.Request:
        """See base class."""
        del worker
        return deadlines.with_remaining(request, remaining_s)
