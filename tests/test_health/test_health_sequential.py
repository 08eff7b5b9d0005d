"""What the sequential detector makes of single outcomes."""

from __future__ import annotations

import testtools

from sardinedoor_node import health
from sardinedoor_node.health import sequential

_USUAL = health.Reference(0.02, 0.01, (0.09, 0.01, 0.003, 0.0, 0.0))
_OK = health.Outcome(health.Kind.ANSWERED, 0.02)
_ERROR = health.Outcome(health.Kind.ERROR, 0.02)
_SLOW = health.Outcome(health.Kind.ANSWERED, 0.2)
_TIMEOUT = health.Outcome(health.Kind.TIMEOUT, 2.0)
_SHORT = health.Outcome(health.Kind.TIMEOUT, 0.02)


class SequentialTest(testtools.TestCase):
    def _count(self, sensitivity, outcomes):
        detector = sequential.SequentialDetector(sensitivity)
        for number, outcome in enumerate(outcomes, 1):
            evidence = detector.record(outcome, _USUAL, number)
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
            (1.0, [_OK] * 500, None),
            (1.0, [_ERROR, *[_OK] * 99] * 50, None),
            # A deadline shorter than the usual latency is no evidence.
            (1.0, [_SHORT] * 500, None),
        )
        for sensitivity, outcomes, expected in rows:
            self.assertEqual(expected, self._count(sensitivity, outcomes))

    def test_age_in_flight_is_evidence_at_once(self):
        detector = sequential.SequentialDetector(1.0)
        top = health.LEVELS - 1
        self.assertIsNone(detector.overdue(0, top, _USUAL, 1.0))
        found = detector.overdue(0, top, _USUAL, 1.1)
        self.assertEqual((2, 2), (found.outcomes, found.bad))
        # The end of a request adds only what its age had not told.
        hung = health.Outcome(health.Kind.TIMEOUT, 2.0, top)
        again = detector.record(hung, _USUAL, 2.0)
        self.assertAlmostEqual(found.score, again.score)

    def test_probes_confirm_and_never_acquit(self):
        detector = sequential.SequentialDetector(1.0)
        for _ in range(100):
            self.assertIsNone(detector.probe_failed(1.0))
        detector.record(_ERROR, _USUAL, 1.0)
        before = detector.score
        detector.probe_failed(1.1)
        confirmed = detector.score
        self.assertGreater(confirmed, before)
        # One probe for each bad outcome.
        detector.probe_failed(1.2)
        self.assertEqual(confirmed, detector.score)

    def test_stated_probability_bounds_thresholds(self):
        self.assertAlmostEqual(5e-7, sequential.false_alarm_probability(0.0))
        self.assertAlmostEqual(5e-4, sequential.false_alarm_probability(1.0))
        self.assertLess(sequential.threshold(1.0), sequential.threshold(0.0))
