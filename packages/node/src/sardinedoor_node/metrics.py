"""Counters and gauges of the daemon."""

from __future__ import annotations

import aioprometheus
from aioprometheus import collectors

from sardinedoor_schema import codes

# Up to the longest deadline that users have stated, in s.
_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0]


class Metrics:
    """All metrics of one node, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._results = self._counter(
            "sardinedoor_results_total", "Requests by result code."
        )
        self._retries = self._counter(
            "sardinedoor_retries_total", "Further attempts by reason."
        )
        self._dropped = self._counter(
            "sardinedoor_frames_dropped_total", "Frames dropped by reason."
        )
        self._events = self._counter(
            "sardinedoor_events_total", "Internal events by kind."
        )
        self._health = self._counter(
            "sardinedoor_health_changes_total",
            "Changes of a target's health by new state and reason.",
        )
        self._certificate_expiry = aioprometheus.Gauge(
            "sardinedoor_certificate_expiry_seconds",
            "End of the public certificate's validity, Unix time.",
            registry=self.registry,
        )

        self._took = aioprometheus.Histogram(
            "sardinedoor_request_seconds",
            "Time from a whole request to its answer, in s.",
            registry=self.registry,
            buckets=_BUCKETS_S,
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def result(self, code: codes.Code) -> None:
        """Counts a request's result."""
        labels = {
            "code": str(int(code)),
            "reason": code.name.lower(),
            "outcome": codes.outcome(code).value,
        }
        self._results.inc(labels)

    def took(self, seconds: float) -> None:
        """Counts the time that a request took, in s."""
        self._took.observe({}, seconds)

    def retry(self, reason: str) -> None:
        """Counts a further attempt."""
        self._retries.inc({"reason": reason})

    def dropped(self, reason: str) -> None:
        """Counts a frame that was dropped."""
        self._dropped.inc({"reason": reason})

    def event(self, kind: str) -> None:
        """Counts an internal event."""
        self._events.inc({"kind": kind})

    def health(self, state: str, reason: str) -> None:
        """Counts a change of a target's health."""
        self._health.inc({"state": state, "reason": reason})

    def certificate_expiry(self, moment_s: float) -> None:
        """Notes when the public certificate expires, in s of Unix time."""
        self._certificate_expiry.set({}, moment_s)
