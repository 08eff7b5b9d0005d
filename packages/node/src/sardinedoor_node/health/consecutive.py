"""Baseline: a number of errors in a row."""

from __future__ import annotations

from sardinedoor_node import health

LIMIT = 5


class ConsecutiveDetector(health.Detector):
    """Suspects a target after five errors in a row."""

    def __init__(self) -> None:
        self._errors = 0
        self._since = 0.0

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        del reference
        if outcome.kind is health.Kind.ANSWERED:
            self._errors = 0
            return None
        if self._errors == 0:
            self._since = now
        self._errors += 1
        if self._errors < LIMIT:
            return None
        return health.Evidence(
            health.Reason.ERRORS,
            self._errors,
            LIMIT,
            self._since,
            self._errors,
            self._errors,
        )

    def reset(self, head_start: float = 0.0) -> None:
        """See base class."""
        del head_start
        self._errors = 0
