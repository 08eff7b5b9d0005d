"""State of each target as known to an ingress, and reports of owners."""

from __future__ import annotations

import dataclasses

LOAD_REPORT_TTL_S = 2.0
_INITIAL_WEIGHT = 0.2


# Bounds the time for which a limited target is left unused.
_MAX_DOUBLINGS = 3


@dataclasses.dataclass(slots=True)
class Report:
    """State of a worker that its owner sends with a reply.

    Attributes:
        ejected: Whether the owner has ejected the worker.
        weight: Load balancing weight, up to 1.
        trial_delay_s: Time until the next trial is admitted, in s.
        load: Requests in flight and queued at the owner.
        rate_limit: Requests per second that the worker accepts; None without a
            limit.
        wait_s: Time that a further request would probably wait, in s.
        unheard: Whether the owner has had no response of the worker yet, so
            that the lack of a limit says nothing.
        refused_by_limit: Whether the offer was refused for the limit.
    """

    ejected: bool = False
    weight: float = 1.0
    trial_delay_s: float = 0.0
    load: int = 0
    rate_limit: float | None = None
    wait_s: float = 0.0
    unheard: bool = False
    refused_by_limit: bool = False


@dataclasses.dataclass(slots=True)
class RateLimit:
    """Limit of a target as known to an ingress.

    Attributes:
        rate: Requests per second that the target accepts from all nodes.
        known_since: When the limit was reported last, monotonic, in s.
        free_at: When the target would probably accept a request if no other
            ingress sent one, monotonic, in s.
        refusals: Number of offers in succession that it refused.
    """

    rate: float
    known_since: float
    free_at: float
    refusals: int = 0

    @property
    def retry_at(self) -> float:
        """When to offer it a request again, monotonic, in s.

        The more ingresses compete for its allowance, the more offers are
        refused, and the longer each ingress waits.
        """
        wait_s = self.free_at - self.known_since
        return self.known_since + wait_s * 2 ** min(
            self.refusals, _MAX_DOUBLINGS
        )


@dataclasses.dataclass(slots=True)
class Feedback:
    """What one attempt showed about a target and the path to its owner.

    Attributes:
        last_frame_at: Monotonic time of the last frame from the owner, in s;
            None if there was none.
        report: Report of the owner on the worker; None if it sent none.
        send_failed: Whether the offer could not be sent.
        offer_timed_out: Whether the owner did not answer the offer in time.
    """

    last_frame_at: float | None = None
    report: Report | None = None
    send_failed: bool = False
    offer_timed_out: bool = False


@dataclasses.dataclass(slots=True)
class TargetView:
    """State of one target as known to this ingress.

    Attributes:
        in_flight: Requests of this ingress in flight.
        has_report: Whether any report has arrived.
        ejected: Ejection state by the latest report or gossip.
        weight: Load balancing weight, up to 1; low before the first report.
        reported_load: Requests in flight and queued at the owner.
        reported_at: Monotonic time of the last report, in s.
        trial_at: Monotonic time of the next trial, in s.
        gossiped_ejected: Ejection state in the latest gossip.
        ejections: Number of ejections seen.
    """

    in_flight: int = 0
    has_report: bool = False
    ejected: bool = False
    weight: float = _INITIAL_WEIGHT
    reported_load: int = 0
    reported_at: float = 0.0
    trial_at: float = 0.0
    gossiped_ejected: bool = False
    ejections: int = 0

    def apply_report(self, report: Report, now: float) -> None:
        """Updates the state with a report of the owner."""
        self._set_ejected(report.ejected, now)
        self.has_report = True
        self.weight = report.weight
        self.reported_load = report.load
        self.reported_at = now
        if report.ejected:
            self.trial_at = now + report.trial_delay_s

    def apply_gossip(self, ejected: bool, now: float) -> None:
        """Updates the ejection state with that of the gossiped member record.

        An unchanged record is ignored, so that it does not override a later
        report.

        Args:
            ejected: Ejection state in the member record.
            now: Monotonic time in s.
        """
        if ejected == self.gossiped_ejected:
            return
        self.gossiped_ejected = ejected
        self._set_ejected(ejected, now)

    def _set_ejected(self, ejected: bool, now: float) -> None:
        if ejected and not self.ejected:
            self.ejections += 1
            self.trial_at = now
        self.ejected = ejected

    def load(self, now: float) -> int:
        """Returns the estimated number of requests at the target."""
        load = self.in_flight
        if now - self.reported_at < LOAD_REPORT_TTL_S:
            load = max(load, self.reported_load)
        return load
