"""State shared by all pickers: requests in flight and suspected paths."""

from __future__ import annotations

import abc
import dataclasses
import logging
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

from sardinedoor_node import picking
from sardinedoor_node.picking import path
from sardinedoor_node.picking import views

if TYPE_CHECKING:
    import random

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Location:
    """Location of an ingress.

    Attributes:
        node: Name of the ingress's node.
        domain: Failure domain of the node.
    """

    node: str = ""
    domain: str = ""


class _HasInFlight(Protocol):
    in_flight: int


_View = TypeVar("_View", bound=_HasInFlight)


class TrackingPicker(picking.Picker, Generic[_View]):
    """Tracks the requests in flight and the reports of each target."""

    def __init__(
        self, rng: random.Random, time: clock.Clock, location: Location
    ):
        """Starts without state of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            location: Location of the ingress.
        """
        self._rng = rng
        self._clock = time
        self._location = location
        self._views: dict[str, _View] = {}
        self._paths = path.PathMonitor()
        self._rate_limits: dict[str, views.RateLimit] = {}

    @property
    def paths(self) -> path.PathMonitor:
        """Failure detector of the paths to owners."""
        return self._paths

    @abc.abstractmethod
    def _new_view(self) -> _View:
        """Returns the initial state of a target."""

    @abc.abstractmethod
    def _apply_report(
        self, view: _View, report: views.Report, now: float
    ) -> None:
        """Updates the state of a target with its owner's report."""

    def _is_path_failure(self, feedback: views.Feedback) -> bool:
        """Returns whether an attempt is evidence of a failed path."""
        return feedback.send_failed

    def _view(self, worker: str) -> _View:
        view = self._views.get(worker)
        if view is None:
            view = self._views[worker] = self._new_view()
        return view

    def _is_local(self, target: table.Target) -> bool:
        """Returns whether a target is in the ingress's failure domain."""
        return target.failure_domain == self._location.domain

    def request_started(self, target: table.Target) -> float:
        """See base class."""
        now = self._clock.monotonic()
        self._view(target.worker).in_flight += 1
        self._paths.request_sent(target.node, now)
        return now

    def request_finished(
        self, target: table.Target, token: float, feedback: views.Feedback
    ) -> None:
        """See base class."""
        now = self._clock.monotonic()
        view = self._view(target.worker)
        view.in_flight -= 1
        path_failed = self._is_path_failure(feedback)
        self._paths.exchange_finished(
            target.node, token, feedback.last_frame_at, path_failed, now
        )
        if feedback.report is not None:
            self._apply_report(view, feedback.report, now)
            self._set_rate_limit(target.worker, feedback.report, now)

    def rate_limit(self, target: table.Target) -> views.RateLimit | None:
        """See base class."""
        return self._rate_limits.get(target.worker)

    def _set_rate_limit(
        self, worker: str, report: views.Report, now: float
    ) -> None:
        if report.unheard and report.rate_limit is None:
            return
        known = self._rate_limits.pop(worker, None)
        if report.rate_limit is not None:
            refusals = 0
            if known is not None and report.refused_by_limit:
                refusals = known.refusals + 1
            self._rate_limits[worker] = views.RateLimit(
                report.rate_limit, now, now + report.wait_s, refusals
            )
        previous = known.rate if known is not None else None
        if previous != report.rate_limit:
            logger.info(
                "target limited"
                if report.rate_limit is not None
                else "target limit ended",
                extra={
                    "worker": worker,
                    "rate_limit": report.rate_limit,
                    "previous": previous,
                },
            )
