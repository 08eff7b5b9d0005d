"""Tests of the result codes and of the page that documents them."""

from __future__ import annotations

import pathlib
import re

import testtools

from sardinedoor_schema import codes
from sardinedoor_schema import faults

_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "codes.rst"


class CodesTest(testtools.TestCase):
    def test_code_range_determines_outcome(self):
        ranges = {
            1: codes.Outcome.ANSWERED,
            2: codes.Outcome.NOT_RUN,
            3: codes.Outcome.UNKNOWN,
        }
        for code in codes.Code:
            self.assertIs(ranges[code // 1000], codes.outcome(code))

    def test_unassigned_code_has_unknown_outcome(self):
        self.assertIs(codes.Outcome.UNKNOWN, codes.outcome(7001))


class DocumentationTest(testtools.TestCase):
    def _rows(self) -> dict[int, list[str]]:
        text = _PAGE.read_text()
        rows = re.findall(
            r"\* - (\d+)\n\s+- (\S+)\n\s+- (.+)(?:\n\s+- (.+))?", text
        )
        return {int(number): list(rest) for number, *rest in rows}

    def test_page_lists_all_codes_and_no_others(self):
        rows = self._rows()
        defined = {int(c) for c in codes.Code} | {
            int(c) for c in faults.FaultCode
        }
        self.assertEqual(defined, set(rows))

    def test_page_states_name_outcome_and_status(self):
        rows = self._rows()
        for code in codes.Code:
            outcome = codes.outcome(code)
            status = str(codes.http_status(code))
            if outcome is codes.Outcome.ANSWERED:
                status = "of the target"
            expected = [code.name.lower(), outcome.value, status]
            self.assertEqual(expected, rows[int(code)], code)
        for fault in faults.FaultCode:
            self.assertEqual(fault.name.lower(), rows[int(fault)][0])
