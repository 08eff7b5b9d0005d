"""Ejection, probation, readmission and the penalty for flapping."""

from __future__ import annotations

import testtools

from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import probation
from sardinedoor_node.health import sequential
from sardinedoor_node.health import worker

_HEALTHY_COUNTS = comparison.OutcomeCounts(100, 1)
_REFERENCE = health.Reference(0.02, 0.01, (0.09, 0.01, 0.003, 0.0, 0.0))


class WorkerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._create_worker()

    def _create_worker(self):
        self.now = 100.0
        detector = sequential.SequentialDetector(1.0)
        self.worker = worker.WorkerHealth(
            detector, probation.ReadmissionRules(), 100.0
        )
        self.worker.reference = _REFERENCE

    def _run_request(self, kind=health.OutcomeKind.ANSWERED, latency_s=0.02):
        request = self.worker.request_started(self.now)
        self.now += latency_s
        self.worker.request_finished(request, kind, self.now)

    def _eject(self, others=_HEALTHY_COUNTS):
        for _ in range(5):
            self._run_request(health.OutcomeKind.ERROR)
        return self.worker.conclude_comparison(others, self.now)

    def _run_trial(self, kind=health.OutcomeKind.ANSWERED):
        self.now += self.worker.trial_delay_s(self.now)
        trial = worker.Rotation.TRIAL
        self.assertTrue(self.worker.admits(trial, True, self.now))
        self._run_request(kind)

    def test_ejects_only_for_faults_that_others_do_not_share(self):
        rows = (
            (comparison.OutcomeCounts(), False),
            (comparison.OutcomeCounts(100, 90), False),
            (comparison.OutcomeCounts(3, 0), False),
            (_HEALTHY_COUNTS, True),
        )
        for others, expected in rows:
            self._create_worker()
            self.assertEqual(expected, self._eject(others))
            self.assertEqual(expected, self.worker.ejected)

    def test_ejected_worker_admits_only_due_idempotent_trials(self):
        self._eject()
        rotation = worker.Rotation
        admits = self.worker.admits
        self.assertFalse(admits(rotation.IN, True, self.now))
        self.assertFalse(admits(rotation.TRIAL, True, self.now))
        self.assertTrue(admits(rotation.FLOOR, False, self.now))
        due = self.now + self.worker.trial_delay_s(self.now)
        self.assertFalse(admits(rotation.IN, True, due))
        self.assertFalse(admits(rotation.TRIAL, False, due))
        self.assertTrue(admits(rotation.TRIAL, True, due))
        self.worker.request_started(due)
        self.assertFalse(admits(rotation.TRIAL, True, due + 60))

    def test_consecutive_good_trials_readmit(self):
        self._eject()
        for _ in range(4):
            self._run_trial()
        self.assertTrue(self.worker.ejected)
        self._run_trial()
        self.assertFalse(self.worker.ejected)
        self.assertLess(self.worker.weight(self.now), 0.3)
        self.assertEqual(1.0, self.worker.weight(self.now + 10))

    def test_bad_trial_ends_probation(self):
        for kind, latency_s in (
            (health.OutcomeKind.ERROR, 0.02),
            (health.OutcomeKind.TIMEOUT, 2.0),
            (health.OutcomeKind.ANSWERED, 0.2),
        ):
            self._create_worker()
            self._eject()
            self.now += self.worker.trial_delay_s(self.now)
            self._run_request(kind, latency_s)
            self.assertIs(worker.State.EJECTED, self.worker.state)
            self.assertGreater(self.worker.trial_delay_s(self.now), 5.0)

    def test_ejections_lengthen_with_each_flap_and_penalty_decays(self):
        delays_s = []
        for _ in range(4):
            self._eject()
            delays_s.append(self.worker.trial_delay_s(self.now))
            while self.worker.ejected:
                self._run_trial()
        self.assertEqual(sorted(delays_s), delays_s)
        self.assertGreater(delays_s[-1], 4 * delays_s[0])
        self.now += 10 * probation.ReadmissionRules().half_life_s
        self._eject()
        self.assertLess(self.worker.trial_delay_s(self.now), 1.1 * delays_s[0])

    def test_readmitted_after_30_s_without_trials(self):
        self._eject()
        self.now += self.worker.trial_delay_s(self.now) + 29
        self.worker.tick(self.now)
        self.assertTrue(self.worker.ejected)
        self.worker.tick(self.now + 2)
        self.assertFalse(self.worker.ejected)
