"""What an ingress knows of each target."""

from __future__ import annotations

import dataclasses

LOAD_LIFE_S = 2.0
_UNKNOWN_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Report:
    """What an owner said of a worker with a reply.

    Attributes:
        ejected: The owner's verdict.
        weight: Share of traffic relative to a full worker, to 1.
        trial_in_s: Time until a trial is welcome, in s.
        busy: Requests in flight and queued at the owner.
    """

    ejected: bool = False
    weight: float = 1.0
    trial_in_s: float = 0.0
    busy: int = 0


@dataclasses.dataclass(slots=True)
class Feedback:
    """What an ingress learned from one attempt.

    Attributes:
        heard_at: When the owner last sent anything, monotonic, in s; None for
            never.
        report: What it said of the worker, if anything.
        refused: Whether the frame could not be sent.
        silent: Whether the owner didn't answer an offer in time.
    """

    heard_at: float | None = None
    report: Report | None = None
    refused: bool = False
    silent: bool = False


@dataclasses.dataclass(slots=True)
class View:
    """State of one target in the eyes of an ingress."""

    in_flight: int = 0
    reported: bool = False
    ejected: bool = False
    weight: float = _UNKNOWN_WEIGHT
    busy: int = 0
    heard_at: float = 0.0
    trial_at: float = 0.0
    gossiped: bool = False
    ejections: int = 0

    def take(self, report: Report, now: float) -> None:
        """Takes a report from the owner."""
        self._set_ejected(report.ejected, now)
        self.reported = True
        self.weight = report.weight
        self.busy = report.busy
        self.heard_at = now
        if report.ejected:
            self.trial_at = now + report.trial_in_s

    def take_gossip(self, ejected: bool, now: float) -> None:
        """Takes the member record's flag; only a change is news."""
        if ejected == self.gossiped:
            return
        self.gossiped = ejected
        self._set_ejected(ejected, now)

    def _set_ejected(self, ejected: bool, now: float) -> None:
        if ejected and not self.ejected:
            self.ejections += 1
            self.trial_at = now
        self.ejected = ejected

    def load(self, now: float) -> int:
        """Estimates the requests at the target."""
        busy = self.in_flight
        if now - self.heard_at < LOAD_LIFE_S:
            busy = max(busy, self.busy)
        return busy
