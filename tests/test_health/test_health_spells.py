"""Odds that a target is in a spell of failing."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.health import spells


class SpellFilterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rates = spells.Rates()
        self.filter = spells.SpellFilter(self.rates, 0.0)

    def test_one_failure_says_a_lot(self):
        self.filter.failed(0.0)
        self.assertGreater(self.filter.sick(0.0), 0.9)

    def test_odds_relax_to_the_share(self):
        self.filter.failed(0.0)
        sick = [self.filter.sick(t) for t in (0.0, 3.0, 9.0, 60.0)]
        self.assertEqual(sorted(sick, reverse=True), sick)
        self.assertAlmostEqual(self.rates.sick_share, sick[-1], places=2)

    def test_good_answers_clear_a_target(self):
        self.filter.failed(0.0)
        for _ in range(4):
            self.filter.served(0.1)
        self.assertLess(self.filter.sick(0.1), 0.2)

    def test_odds_are_calibrated(self):
        rng = random.Random(5)
        said = []
        for _ in range(400):
            judged = spells.SpellFilter(self.rates, 0.0)
            sick = rng.random() < self.rates.sick_share
            now = 0.0
            for _ in range(rng.randrange(1, 8)):
                now += 0.3
                change = 0.3 / self.rates.spell_s
                if not sick:
                    share = self.rates.sick_share
                    change *= share / (1 - share)
                if rng.random() < change:
                    sick = not sick
                failures = self.rates.well_failures
                if sick:
                    failures = self.rates.sick_failures
                if rng.random() < failures:
                    judged.failed(now)
                else:
                    judged.served(now)
            said.append((judged.sick(now), sick))
        high = [sick for odds, sick in said if odds > 0.7]
        low = [sick for odds, sick in said if odds < 0.1]
        self.assertGreater(sum(high) / len(high), 0.75)
        self.assertLess(sum(low) / len(low), 0.1)
