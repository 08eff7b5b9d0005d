"""Sequential detector: evidence from single outcomes, ages and probes."""

from __future__ import annotations

import testtools

from sardinedoor_node import health
from sardinedoor_node.health import sequential

_REFERENCE = health.Reference(0.02, 0.01, (0.09, 0.01, 0.003, 0.0, 0.0))
_SUCCESS = health.Outcome(health.OutcomeKind.ANSWERED, 0.02)
_ERROR = health.Outcome(health.OutcomeKind.ERROR, 0.02)
_SLOW = health.Outcome(health.OutcomeKind.ANSWERED, 0.2)
_TIMEOUT = health.Outcome(health.OutcomeKind.TIMEOUT, 2.0)
_SHORT_TIMEOUT = health.Outcome(health.OutcomeKind.TIMEOUT, 0.02)


class SequentialTest(testtools.TestCase):
    def _first_suspicion(self, sensitivity, outcomes):
        detector = sequential.SequentialDetector(sensitivity)
        for number, outcome in enumerate(outcomes, 1):
            evidence = detector.record(outcome, _REFERENCE, number)
            if evidence is not None:
                return number, evidence.reason
        return None

    def test_outcomes_until_suspicion(self):
        errors, slow = health.Reason.ERRORS, health.Reason.SLOW
        rows = (
            (1.0, [_ERROR] * 9, (3, errors)),
            (0.0, [_ERROR] * 9, (4, errors)),
            (1.0, [_SLOW] * 9, (3, slow)),
            (0.0, [_SLOW] * 9, (5, slow)),
            (1.0, [_TIMEOUT] * 9, (2, slow)),
            (1.0, [_SUCCESS] * 500, None),
            (1.0, [_ERROR, *[_SUCCESS] * 99] * 50, None),
            # A timeout at the typical latency is censored: it does not show
            # that the target is slow.
            (1.0, [_SHORT_TIMEOUT] * 500, None),
        )
        for sensitivity, outcomes, expected in rows:
            self.assertEqual(
                expected, self._first_suspicion(sensitivity, outcomes)
            )

    def test_overdue_requests_are_evidence_while_in_flight(self):
        detector = sequential.SequentialDetector(1.0)
        top = health.LATENCY_LEVEL_COUNT - 1
        self.assertIsNone(detector.record_overdue(0, top, _REFERENCE, 1.0))
        evidence = detector.record_overdue(0, top, _REFERENCE, 1.1)
        self.assertEqual((2, 2), (evidence.outcomes, evidence.bad_outcomes))
        # The outcome adds only evidence that the age did not add before.
        timed_out = health.Outcome(health.OutcomeKind.TIMEOUT, 2.0, top)
        later = detector.record(timed_out, _REFERENCE, 2.0)
        self.assertAlmostEqual(evidence.score, later.score)

    def test_failed_probes_only_add_to_existing_evidence(self):
        detector = sequential.SequentialDetector(1.0)
        for _ in range(100):
            self.assertIsNone(detector.record_failed_probe(1.0))
        detector.record(_ERROR, _REFERENCE, 1.0)
        before = detector.score_share
        detector.record_failed_probe(1.1)
        after_probe = detector.score_share
        self.assertGreater(after_probe, before)
        # Only one failed probe counts per bad outcome.
        detector.record_failed_probe(1.2)
        self.assertEqual(after_probe, detector.score_share)

    def test_sensitivity_sets_false_alarm_probability_and_threshold(self):
        self.assertAlmostEqual(5e-7, sequential.false_alarm_probability(0.0))
        self.assertAlmostEqual(5e-4, sequential.false_alarm_probability(1.0))
        self.assertLess(sequential.threshold(1.0), sequential.threshold(0.0))
