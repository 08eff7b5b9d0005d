"""Result codes and their outcomes."""

from __future__ import annotations

import testtools

from sardinedoor_schema import codes


class CodesTest(testtools.TestCase):
    def test_each_code_has_the_outcome_of_its_range(self):
        ranges = {
            1: codes.Outcome.ANSWERED,
            2: codes.Outcome.NOT_RUN,
            3: codes.Outcome.UNKNOWN,
        }
        for code in codes.Code:
            self.assertIs(ranges[code // 1000], codes.outcome(code))

    def test_a_code_of_a_newer_version_is_unknown(self):
        self.assertIs(codes.Outcome.UNKNOWN, codes.outcome(7001))
