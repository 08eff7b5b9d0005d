"""Two-state hidden Markov filter: updates, decay and calibration."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.health import markovfilter


class FailureFilterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.model = markovfilter.FailureModel()
        self.filter = markovfilter.FailureFilter(self.model, 0.0)

    def test_one_failure_raises_the_probability_above_0_9(self):
        self.filter.record_failure(0.0)
        self.assertGreater(self.filter.failing_probability(0.0), 0.9)

    def test_probability_decays_to_the_stationary_one(self):
        self.filter.record_failure(0.0)
        probabilities = [
            self.filter.failing_probability(t) for t in (0.0, 3.0, 9.0, 60.0)
        ]
        self.assertEqual(sorted(probabilities, reverse=True), probabilities)
        self.assertAlmostEqual(
            self.model.failing_share, probabilities[-1], places=2
        )

    def test_four_successes_clear_a_failure(self):
        self.filter.record_failure(0.0)
        for _ in range(4):
            self.filter.record_success(0.1)
        self.assertLess(self.filter.failing_probability(0.1), 0.2)

    def test_probabilities_are_calibrated(self):
        rng = random.Random(5)
        samples = []
        for _ in range(400):
            target_filter = markovfilter.FailureFilter(self.model, 0.0)
            is_failing = rng.random() < self.model.failing_share
            now = 0.0
            for _ in range(rng.randrange(1, 8)):
                now += 0.3
                transition = 0.3 / self.model.mean_failing_s
                if not is_failing:
                    share = self.model.failing_share
                    transition *= share / (1 - share)
                if rng.random() < transition:
                    is_failing = not is_failing
                error_share = self.model.healthy_error_share
                if is_failing:
                    error_share = self.model.failing_error_share
                if rng.random() < error_share:
                    target_filter.record_failure(now)
                else:
                    target_filter.record_success(now)
            samples.append((target_filter.failing_probability(now), is_failing))
        high = [is_failing for p, is_failing in samples if p > 0.7]
        low = [is_failing for p, is_failing in samples if p < 0.1]
        self.assertGreater(sum(high) / len(high), 0.75)
        self.assertLess(sum(low) / len(low), 0.1)
