"""What pickers share: requests in flight, and evidence on paths."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

from sardinedoor_node import picking
from sardinedoor_node.picking import path

if TYPE_CHECKING:
    import random

    from sardinedoor_node.membership import table
    from sardinedoor_node.picking import views
    from sardinedoor_node.util import clock


@dataclasses.dataclass(slots=True)
class Place:
    """Where an ingress is.

    Attributes:
        node: Name of the ingress's node.
        domain: Its failure domain.
    """

    node: str = ""
    domain: str = ""


class _Counted(Protocol):
    in_flight: int


_View = TypeVar("_View", bound=_Counted)


class CountingPicker(picking.Picker, Generic[_View]):
    """Keeps a view of each target, with its requests in flight."""

    def __init__(self, rng: random.Random, time: clock.Clock, place: Place):
        """Starts knowing nothing of any target.

        Args:
            rng: Source of randomness.
            time: The clock.
            place: Where the ingress is.
        """
        self._rng = rng
        self._clock = time
        self._place = place
        self._views: dict[str, _View] = {}
        self._paths = path.PathEvidence()

    @property
    def paths(self) -> path.PathEvidence:
        """Evidence on the paths to owners."""
        return self._paths

    @abc.abstractmethod
    def _new_view(self) -> _View:
        """Returns the view of a target that nothing is known of."""

    @abc.abstractmethod
    def _take(self, view: _View, report: views.Report, now: float) -> None:
        """Takes what an owner said of its worker."""

    def _is_unreachable(self, feedback: views.Feedback) -> bool:
        """Tells whether an exchange speaks against the path."""
        return feedback.refused

    def _view(self, name: str) -> _View:
        view = self._views.get(name)
        if view is None:
            view = self._views[name] = self._new_view()
        return view

    def _is_near(self, target: table.Target) -> bool:
        return target.failure_domain == self._place.domain

    def started(self, target: table.Target) -> float:
        """See base class."""
        now = self._clock.monotonic()
        self._view(target.worker).in_flight += 1
        self._paths.sent(target.node, now)
        return now

    def finished(
        self, target: table.Target, token: float, feedback: views.Feedback
    ) -> None:
        """See base class."""
        now = self._clock.monotonic()
        view = self._view(target.worker)
        view.in_flight -= 1
        unreachable = self._is_unreachable(feedback)
        self._paths.finished(
            target.node, token, feedback.heard_at, unreachable, now
        )
        if feedback.report is not None:
            self._take(view, feedback.report, now)
