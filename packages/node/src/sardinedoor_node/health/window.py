"""Baseline: the share of errors in windows of fixed length."""

from __future__ import annotations

from sardinedoor_node import health

WINDOW_S = 10.0
SHARE_LIMIT = 0.5
LEAST_OUTCOMES = 5


class WindowDetector(health.Detector):
    """Judges at the end of each window of 10 s."""

    def __init__(self) -> None:
        self._start = 0.0
        self._outcomes = 0
        self._errors = 0

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        del reference
        evidence = None
        if now - self._start >= WINDOW_S:
            evidence = self._judge()
            self._start = now
            self._outcomes = 0
            self._errors = 0
        self._outcomes += 1
        if outcome.kind is not health.Kind.ANSWERED:
            self._errors += 1
        return evidence

    def _judge(self) -> health.Evidence | None:
        if self._outcomes < LEAST_OUTCOMES:
            return None
        share = self._errors / self._outcomes
        if share < SHARE_LIMIT:
            return None
        return health.Evidence(
            health.Reason.ERRORS,
            share,
            SHARE_LIMIT,
            self._start,
            self._outcomes,
            self._errors,
        )

    def reset(self, head_start: float = 0.0) -> None:
        """See base class."""
        del head_start
        self._outcomes = 0
        self._errors = 0
