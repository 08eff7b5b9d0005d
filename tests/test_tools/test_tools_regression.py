"""List of regression days, and the verdict on a played day."""

from __future__ import annotations

import pathlib

import regression
import testtools

_ROOT = pathlib.Path(regression.__file__).resolve().parent.parent


def _entry(rules: dict | None = None, fault: str | None = None) -> dict:
    return {
        "days": [
            {
                "parts": [["whole day", 0.6, 0.9], ["nines", 0.4, 0.5]],
                "prices": [["machine-seconds", 10.0, 0.03]],
                "rules": rules or {},
                "fault": fault,
            }
        ]
    }


class RegressionTest(testtools.TestCase):
    def test_committed_list_is_read(self):
        text = (_ROOT / "deploy/regression.ini").read_text()
        days = regression.read_days(text)
        self.assertIn(
            ("large/agora-permits-large.toml", "scale-1"),
            [(day.site, day.name) for day in days],
        )

    def test_worth_is_the_weighted_parts_less_prices(self):
        result = regression.read_result(_entry())
        self.assertAlmostEqual(0.6 * 0.9 + 0.4 * 0.5 - 0.03, result.worth)

    def test_entry_of_several_days_is_refused(self):
        for days in ([], _entry()["days"] * 2):
            with testtools.ExpectedException(ValueError):
                regression.read_result({"days": days})

    def test_broken_rule_fault_and_fall_fail(self):
        held = regression.read_result(_entry())
        day = regression.Day("s", "d", held.worth)
        self.assertEqual("", regression.verdict(day, held))
        unknown = regression.Day("s", "d", None)
        self.assertEqual("", regression.verdict(unknown, held))
        better = regression.Day("s", "d", held.worth + 0.04)
        self.assertIn("fell", regression.verdict(better, held))
        broken = regression.read_result(_entry({"FLOOR": 1}))
        self.assertIn("FLOOR", regression.verdict(day, broken))
        faulty = regression.read_result(_entry(fault="nothing was served"))
        self.assertIn("nothing", regression.verdict(unknown, faulty))
