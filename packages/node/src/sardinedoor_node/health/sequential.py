"""Sequential test of every outcome by a bank of CUSUM statistics."""

from __future__ import annotations

import math

from sardinedoor_node import health
from sardinedoor_node.health import hypotheses

MIN_FALSE_ALARM_PROBABILITY = 5e-7
FALSE_ALARM_RANGE_FACTOR = 1000.0
_MAX_SCORE_FACTOR = 1.5


def false_alarm_probability(sensitivity: float) -> float:
    """Returns the allowed probability of a false alarm per healthy outcome.

    Args:
        sensitivity: The team's setting, 0 to 1.

    Returns:
        5e-7 at sensitivity 0 and 5e-4 at 1, interpolated geometrically.
    """
    return MIN_FALSE_ALARM_PROBABILITY * FALSE_ALARM_RANGE_FACTOR**sensitivity


def threshold(sensitivity: float) -> float:
    """Returns the score from which a target is suspected.

    By the bound of Page and Lorden, a CUSUM of log-likelihood ratios reaches
    h on outcomes of a healthy target at most once in exp(h) outcomes on
    average. The allowed probability is divided equally among the statistics.

    Args:
        sensitivity: The team's setting, 0 to 1.
    """
    allowed = false_alarm_probability(sensitivity)
    return math.log(hypotheses.ALTERNATIVE_COUNT / allowed)


class _CusumStatistic:
    """One CUSUM: its score, and the outcomes counted since it left zero."""

    __slots__ = ("bad_outcomes", "outcomes", "score", "since")

    def __init__(self) -> None:
        self.restart(0.0)

    def restart(self, score: float) -> None:
        self.score = score
        self.since = 0.0
        self.outcomes = 0
        self.bad_outcomes = 0


class SequentialDetector(health.Detector):
    """Tests several alternative hypotheses at once, one CUSUM for each."""

    needs_comparison = True

    def __init__(self, sensitivity: float):
        """Starts without evidence.

        Args:
            sensitivity: The team's setting, 0 to 1.
        """
        self._threshold = threshold(sensitivity)
        self._statistics = [
            _CusumStatistic() for _ in range(hypotheses.ALTERNATIVE_COUNT)
        ]
        self._reference = health.Reference()
        self._ratios = hypotheses.LogLikelihoodRatios(self._reference)
        self._probe_counted = True

    @property
    def score_share(self) -> float:
        """Highest score of the statistics as a share of the threshold."""
        return max(s.score for s in self._statistics) / self._threshold

    def _set_reference(self, reference: health.Reference) -> None:
        if reference is self._reference or reference == self._reference:
            return
        self._reference = reference
        self._ratios = hypotheses.LogLikelihoodRatios(reference)

    def record(
        self,
        outcome: health.Outcome,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        self._set_reference(reference)
        level = health.latency_level(outcome.latency_s, reference.latency_s)
        if outcome.kind is health.OutcomeKind.TIMEOUT and self._is_censored(
            level, reference
        ):
            return self.record_overdue(
                outcome.counted_level, level, reference, now
            )
        for index, statistic in enumerate(self._statistics):
            log_ratio = self._log_ratio(index, outcome.kind, level)
            log_ratio -= self._ratios.in_flight[index][outcome.counted_level]
            self._add(statistic, log_ratio, now, outcome.counted_level == 0)
        if outcome.kind is not health.OutcomeKind.ANSWERED or level > 0:
            self._probe_counted = False
        return self._current_evidence()

    def _is_censored(self, level: int, reference: health.Reference) -> bool:
        """Returns whether a timeout only bounds the latency from below."""
        return (
            reference.latency_s > 0 and level < health.LATENCY_LEVEL_COUNT - 1
        )

    def _log_ratio(
        self, alternative: int, kind: health.OutcomeKind, level: int
    ) -> float:
        finished = self._ratios.finished[alternative]
        if kind is health.OutcomeKind.ANSWERED:
            return finished[level]
        if kind is health.OutcomeKind.ERROR:
            return finished[hypotheses.ERROR_INDEX]
        in_flight = self._ratios.in_flight[alternative][
            health.LATENCY_LEVEL_COUNT - 1
        ]
        return max(finished[hypotheses.ERROR_INDEX], in_flight)

    def record_overdue(
        self,
        counted_level: int,
        level: int,
        reference: health.Reference,
        now: float,
    ) -> health.Evidence | None:
        """See base class."""
        self._set_reference(reference)
        if level <= counted_level:
            return self._current_evidence()
        for index, statistic in enumerate(self._statistics):
            in_flight = self._ratios.in_flight[index]
            log_ratio = in_flight[level] - in_flight[counted_level]
            self._add(statistic, log_ratio, now, counted_level == 0)
        self._probe_counted = False
        return self._current_evidence()

    def record_failed_probe(self, now: float) -> health.Evidence | None:
        """See base class; counts one failed probe per bad outcome."""
        if self._probe_counted:
            return self._current_evidence()
        self._probe_counted = True
        for index, statistic in enumerate(self._statistics):
            if statistic.bad_outcomes:
                log_ratio = self._ratios.finished[index][hypotheses.ERROR_INDEX]
                self._add(statistic, log_ratio, now, False)
        return self._current_evidence()

    def _add(
        self,
        statistic: _CusumStatistic,
        log_ratio: float,
        now: float,
        is_new_request: bool,
    ) -> None:
        score = statistic.score + log_ratio
        if score <= 0:
            statistic.restart(0.0)
            return
        if statistic.outcomes == 0:
            statistic.since = now
        if is_new_request or statistic.outcomes == 0:
            statistic.outcomes += 1
            statistic.bad_outcomes += log_ratio > 0
        statistic.score = min(score, _MAX_SCORE_FACTOR * self._threshold)

    def _current_evidence(self) -> health.Evidence | None:
        best = 0
        for index, statistic in enumerate(self._statistics):
            if statistic.score > self._statistics[best].score:
                best = index
        statistic = self._statistics[best]
        if statistic.score < self._threshold:
            return None
        return health.Evidence(
            hypotheses.reason(best),
            statistic.score,
            self._threshold,
            statistic.since,
            statistic.outcomes,
            statistic.bad_outcomes,
            hypotheses.slow_level(best),
        )

    def reset(self, initial_share: float = 0.0) -> None:
        """See base class."""
        for statistic in self._statistics:
            statistic.restart(initial_share * self._threshold)
        self._probe_counted = True
