"""Sequential test on every outcome, by a bank of CUSUM statistics."""

from __future__ import annotations

import math

from sardinedoor_node import health
from sardinedoor_node.health import alternatives

FALSE_ALARM_LEAST = 5e-7
FALSE_ALARM_FACTOR = 1000.0
_SCORE_LIMIT = 1.5


def false_alarm_probability(sensitivity: float) -> float:
    """Bounds the probability of suspicion per healthy outcome.

    Args:
        sensitivity: The team's setting, 0 to 1.

    Returns:
        5e-7 at sensitivity 0, 5e-4 at 1, geometric between.
    """
    return FALSE_ALARM_LEAST * FALSE_ALARM_FACTOR**sensitivity


def threshold(sensitivity: float) -> float:
    """Returns the score at which a target is suspected.

    By Page's and Lorden's bound a CUSUM of log likelihood ratios reaches h
    on healthy outcomes at most once in exp(h) outcomes on average; the bank
    shares the allowed probability among its members.
    """
    allowed = false_alarm_probability(sensitivity)
    return math.log(alternatives.COUNT / allowed)


class _Statistic:
    """One CUSUM: its score, and what has counted since it left zero."""

    __slots__ = ("bad", "outcomes", "score", "since")

    def __init__(self) -> None:
        self.clear(0.0)

    def clear(self, score: float) -> None:
        self.score = score
        self.since = 0.0
        self.outcomes = 0
        self.bad = 0


class SequentialDetector(health.Detector):
    """Tests health against several kinds of trouble at once."""

    compares = True

    def __init__(self, sensitivity: float):
        """Starts without evidence.

        Args:
            sensitivity: The team's setting, 0 to 1.
        """
        self._threshold = threshold(sensitivity)
        self._statistics = [_Statistic() for _ in range(alternatives.COUNT)]
        self._reference = health.Reference()
        self._ratios = alternatives.Ratios(self._reference)
        self._probe_counted = True

    @property
    def score(self) -> float:
        """The strongest evidence as a share of the threshold."""
        return max(s.score for s in self._statistics) / self._threshold

    def _take(self, reference: health.Reference) -> None:
        if reference is self._reference or reference == self._reference:
            return
        self._reference = reference
        self._ratios = alternatives.Ratios(reference)

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        self._take(reference)
        level = health.latency_level(outcome.latency_s, reference.latency_s)
        if outcome.kind is health.Kind.TIMEOUT and self._censored(
            level, reference
        ):
            return self.overdue(outcome.applied, level, reference, now)
        for number, statistic in enumerate(self._statistics):
            step = self._step(number, outcome.kind, level)
            step -= self._ratios.reached[number][outcome.applied]
            self._add(statistic, step, now, outcome.applied == 0)
        if outcome.kind is not health.Kind.ANSWERED or level > 0:
            self._probe_counted = False
        return self._evidence()

    def _censored(self, level: int, reference: health.Reference) -> bool:
        """Tells whether a timeout says only that the latency was longer."""
        return reference.latency_s > 0 and level < health.LEVELS - 1

    def _step(self, number: int, kind: health.Kind, level: int) -> float:
        ended = self._ratios.ended[number]
        if kind is health.Kind.ANSWERED:
            return ended[level]
        if kind is health.Kind.ERROR:
            return ended[alternatives.ERROR]
        reached = self._ratios.reached[number][health.LEVELS - 1]
        return max(ended[alternatives.ERROR], reached)

    def overdue(
        self,
        applied: int,
        level: int,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        self._take(reference)
        if level <= applied:
            return self._evidence()
        for number, statistic in enumerate(self._statistics):
            reached = self._ratios.reached[number]
            step = reached[level] - reached[applied]
            self._add(statistic, step, now, applied == 0)
        self._probe_counted = False
        return self._evidence()

    def probe_failed(self, now: float) -> health.Evidence | None:
        """See base class; one probe for each bad real outcome counts."""
        if self._probe_counted:
            return self._evidence()
        self._probe_counted = True
        for number, statistic in enumerate(self._statistics):
            if statistic.bad:
                step = self._ratios.ended[number][alternatives.ERROR]
                self._add(statistic, step, now, False)
        return self._evidence()

    def _add(
        self, statistic: _Statistic, step: float, now: float, new: bool
    ) -> None:
        score = statistic.score + step
        if score <= 0:
            statistic.clear(0.0)
            return
        if statistic.outcomes == 0:
            statistic.since = now
        if new or statistic.outcomes == 0:
            statistic.outcomes += 1
            statistic.bad += step > 0
        statistic.score = min(score, _SCORE_LIMIT * self._threshold)

    def _evidence(self) -> health.Evidence | None:
        best = 0
        for number, statistic in enumerate(self._statistics):
            if statistic.score > self._statistics[best].score:
                best = number
        statistic = self._statistics[best]
        if statistic.score < self._threshold:
            return None
        return health.Evidence(
            alternatives.reason(best),
            statistic.score,
            self._threshold,
            statistic.since,
            statistic.outcomes,
            statistic.bad,
            alternatives.level(best),
        )

    def reset(self, head_start: float = 0.0) -> None:
        """See base class."""
        for statistic in self._statistics:
            statistic.clear(head_start * self._threshold)
        self._probe_counted = True
