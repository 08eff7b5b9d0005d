"""Detector that counts consecutive errors; a baseline for benchmarks."""

from __future__ import annotations

from sardinedoor_node import health

CONSECUTIVE_ERROR_LIMIT = 5


class ConsecutiveDetector(health.Detector):
    """Suspects a target after CONSECUTIVE_ERROR_LIMIT errors in a row."""

    def __init__(self) -> None:
        self._errors = 0
        self._first_error_at = 0.0

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        del reference
        if outcome.kind is health.OutcomeKind.ANSWERED:
            self._errors = 0
            return None
        if self._errors == 0:
            self._first_error_at = now
        self._errors += 1
        if self._errors < CONSECUTIVE_ERROR_LIMIT:
            return None
        # Each error adds 1 to the score.
        return health.Evidence(
            health.Reason.ERRORS,
            self._errors,
            CONSECUTIVE_ERROR_LIMIT,
            self._first_error_at,
            self._errors,
            self._errors,
        )

    def reset(self, initial_share: float = 0.0) -> None:
        """See base class."""
        del initial_share
        self._errors = 0
