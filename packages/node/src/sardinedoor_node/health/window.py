"""Baseline detector for comparison: share of errors in tumbling windows."""

from __future__ import annotations

from sardinedoor_node import health

WINDOW_S = 10.0
ERROR_SHARE_LIMIT = 0.5
MIN_WINDOW_OUTCOMES = 5


class WindowDetector(health.Detector):
    """Tests the share of errors at the end of each window of WINDOW_S."""

    def __init__(self) -> None:
        self._window_start = 0.0
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
        if now - self._window_start >= WINDOW_S:
            evidence = self._evaluate_window()
            self._window_start = now
            self._outcomes = 0
            self._errors = 0
        self._outcomes += 1
        if outcome.kind is not health.OutcomeKind.ANSWERED:
            self._errors += 1
        return evidence

    def _evaluate_window(self) -> health.Evidence | None:
        if self._outcomes < MIN_WINDOW_OUTCOMES:
            return None
        error_share = self._errors / self._outcomes
        if error_share < ERROR_SHARE_LIMIT:
            return None
        return health.Evidence(
            health.Reason.ERRORS,
            error_share,
            ERROR_SHARE_LIMIT,
            self._window_start,
            self._outcomes,
            self._errors,
        )

    def reset(self, initial_share: float = 0.0) -> None:
        """See base class."""
        del initial_share
        self._outcomes = 0
        self._errors = 0
