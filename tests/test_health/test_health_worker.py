"""Ejection, probation, and what flapping costs."""

from __future__ import annotations

import testtools

from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import probation
from sardinedoor_node.health import sequential
from sardinedoor_node.health import worker

_HEALTHY = comparison.Counts(100, 1)
_USUAL = health.Reference(0.02, 0.01, (0.09, 0.01, 0.003, 0.0, 0.0))


class WorkerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._begin()

    def _begin(self):
        self.now = 100.0
        detector = sequential.SequentialDetector(1.0)
        self.worker = worker.WorkerHealth(detector, probation.Rules(), 100.0)
        self.worker.reference = _USUAL

    def _run(self, kind=health.Kind.ANSWERED, seconds=0.02):
        run = self.worker.started(self.now)
        self.now += seconds
        self.worker.finished(run, kind, self.now)

    def _eject(self, others=_HEALTHY):
        for _ in range(5):
            self._run(health.Kind.ERROR)
        return self.worker.decide(others, self.now)

    def _trial(self, kind=health.Kind.ANSWERED):
        self.now += self.worker.trial_in(self.now)
        trial = worker.Rotation.TRIAL
        self.assertTrue(self.worker.admits(trial, True, self.now))
        self._run(kind)

    def test_only_what_others_do_not_share_ejects(self):
        rows = (
            (comparison.Counts(), False),
            (comparison.Counts(100, 90), False),
            (comparison.Counts(3, 0), False),
            (_HEALTHY, True),
        )
        for others, expected in rows:
            self._begin()
            self.assertEqual(expected, self._eject(others))
            self.assertEqual(expected, self.worker.ejected)

    def test_ejected_worker_takes_only_due_idempotent_trials(self):
        self._eject()
        rotation = worker.Rotation
        admits = self.worker.admits
        self.assertFalse(admits(rotation.IN, True, self.now))
        self.assertFalse(admits(rotation.TRIAL, True, self.now))
        self.assertTrue(admits(rotation.FLOOR, False, self.now))
        later = self.now + self.worker.trial_in(self.now)
        self.assertFalse(admits(rotation.IN, True, later))
        self.assertFalse(admits(rotation.TRIAL, False, later))
        self.assertTrue(admits(rotation.TRIAL, True, later))
        self.worker.started(later)
        self.assertFalse(admits(rotation.TRIAL, True, later + 60))

    def test_return_by_good_trials_in_a_row(self):
        self._eject()
        for _ in range(4):
            self._trial()
        self.assertTrue(self.worker.ejected)
        self._trial()
        self.assertFalse(self.worker.ejected)
        self.assertLess(self.worker.weight(self.now), 0.3)
        self.assertEqual(1.0, self.worker.weight(self.now + 10))

    def test_bad_trial_ends_probation(self):
        for kind, seconds in (
            (health.Kind.ERROR, 0.02),
            (health.Kind.TIMEOUT, 2.0),
            (health.Kind.ANSWERED, 0.2),
        ):
            self._begin()
            self._eject()
            self.now += self.worker.trial_in(self.now)
            self._run(kind, seconds)
            self.assertIs(worker.State.EJECTED, self.worker.state)
            self.assertGreater(self.worker.trial_in(self.now), 5.0)

    def test_each_flap_costs_more_and_time_forgives(self):
        waits = []
        for _ in range(4):
            self._eject()
            waits.append(self.worker.trial_in(self.now))
            while self.worker.ejected:
                self._trial()
        self.assertEqual(sorted(waits), waits)
        self.assertGreater(waits[-1], 4 * waits[0])
        self.now += 10 * probation.Rules().half_life_s
        self._eject()
        self.assertLess(self.worker.trial_in(self.now), 1.1 * waits[0])

    def test_return_without_trials_after_a_while(self):
        self._eject()
        self.now += self.worker.trial_in(self.now) + 29
        self.worker.tick(self.now)
        self.assertTrue(self.worker.ejected)
        self.worker.tick(self.now + 2)
        self.assertFalse(self.worker.ejected)
