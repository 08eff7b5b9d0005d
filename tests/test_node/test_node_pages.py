"""Checks that the operators' page documents what the code contains."""

from __future__ import annotations

import json
import pathlib
import re

import testtools

from sardinedoor_cli import exits
from sardinedoor_node import main

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_OPERATORS_PAGE = (_ROOT / "docs" / "operators.rst").read_text()
_SOURCE_DIR = _ROOT / "packages" / "node" / "src"


class OperatorsPageTest(testtools.TestCase):
    def _find_in_source(self, pattern: str) -> set[str]:
        return {
            match
            for path in _SOURCE_DIR.rglob("*.py")
            for match in re.findall(pattern, path.read_text())
        }

    def test_metrics_reasons_and_events_are_documented(self):
        names = self._find_in_source(r'"(sardinedoor_\w+)"')
        names |= self._find_in_source(r'\.(?:event|dropped)\(\s*"(\w+)"')
        self.assertTrue(names)
        missing = [
            name
            for name in sorted(names)
            if f"``{name}``" not in _OPERATORS_PAGE
        ]
        self.assertEqual([], missing)

    def test_settings_sections_have_tables(self):
        schema = json.loads((_ROOT / "schemas/settings.json").read_text())
        for name in schema["definitions"]:
            self.assertIn(f".. settings-section:: {name}", _OPERATORS_PAGE)

    def test_exit_codes_are_listed(self):
        listed = set(re.findall(r"     - (\d+)\n     - ", _OPERATORS_PAGE))
        exit_codes = {*exits.Exit, main.EXIT_SETTINGS, main.EXIT_LISTEN}
        self.assertEqual({str(int(code)) for code in exit_codes}, listed)
