"""Prometheus metrics of a node."""

from __future__ import annotations

import aioprometheus
from aioprometheus import collectors

from sardinedoor_schema import codes

# The last bucket is the longest deadline that users have stated.
_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0]

_NO_LIMIT = -1.0


class Metrics:
    """All metrics of one node, in a separate registry.

    Attributes:
        registry: The metrics that are served.
        task_restarts: Restarts of tasks that should not have ended, by task.
    """

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.task_restarts: dict[str, int] = {}
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
        self._task_restarts = self._counter(
            "sardinedoor_task_restarts_total",
            "Restarts of tasks that should not have ended, by task.",
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
        self._rate_limit = aioprometheus.Gauge(
            "sardinedoor_worker_rate_limit",
            "Requests per second that one of the node's workers announced as"
            " its limit; -1 without a limit.",
            registry=self.registry,
        )
        self._request_duration = aioprometheus.Histogram(
            "sardinedoor_request_seconds",
            "Time from a whole request to its answer, in s.",
            registry=self.registry,
            buckets=_BUCKETS_S,
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def result(self, code: codes.Code) -> None:
        """Counts the result code of a request."""
        labels = {
            "code": str(int(code)),
            "reason": code.name.lower(),
            "outcome": codes.outcome(code).value,
        }
        self._results.inc(labels)

    def observe_request_duration(self, duration_s: float) -> None:
        """Adds the duration of a request, in s, to the histogram."""
        self._request_duration.observe({}, duration_s)

    def retry(self, reason: str) -> None:
        """Counts an attempt after the first, by the reason for it."""
        self._retries.inc({"reason": reason})

    def dropped(self, reason: str) -> None:
        """Counts a dropped frame."""
        self._dropped.inc({"reason": reason})

    def event(self, kind: str) -> None:
        """Counts an internal event."""
        self._events.inc({"kind": kind})

    def task_restarted(self, task: str) -> None:
        """Counts a restart of a task that should not have ended."""
        self.task_restarts[task] = self.task_restarts.get(task, 0) + 1
        self._task_restarts.inc({"task": task})

    def health(self, state: str, reason: str) -> None:
        """Counts a change of the health state of a target."""
        self._health.inc({"state": state, "reason": reason})

    def certificate_expiry(self, expires_at_s: float) -> None:
        """Sets the expiry of the public certificate, in s of Unix time."""
        self._certificate_expiry.set({}, expires_at_s)

    def rate_limit(self, worker: str, rate_limit: float | None) -> None:
        """Sets the announced limit of a worker, in requests per second."""
        self._rate_limit.set(
            {"worker": worker}, _NO_LIMIT if rate_limit is None else rate_limit
        )
