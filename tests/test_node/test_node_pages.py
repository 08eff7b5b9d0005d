"""The operators' page against the code."""

from __future__ import annotations

import json
import pathlib
import re

import testtools

from sardinedoor_cli import exits
from sardinedoor_node import main

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PAGE = (_ROOT / "docs" / "operators.rst").read_text()
_SOURCE = _ROOT / "packages" / "node" / "src"


class OperatorsPageTest(testtools.TestCase):
    def _found(self, pattern: str) -> set[str]:
        return {
            match
            for path in _SOURCE.rglob("*.py")
            for match in re.findall(pattern, path.read_text())
        }

    def test_each_metric_reason_and_event_is_explained(self):
        names = self._found(r'"(sardinedoor_\w+)"')
        names |= self._found(r'\.(?:event|dropped)\(\s*"(\w+)"')
        self.assertTrue(names)
        missing = [name for name in sorted(names) if f"``{name}``" not in _PAGE]
        self.assertEqual([], missing)

    def test_each_section_of_the_settings_has_a_table(self):
        schema = json.loads((_ROOT / "schemas/settings.json").read_text())
        for name in schema["definitions"]:
            self.assertIn(f".. settings-section:: {name}", _PAGE)

    def test_each_exit_code_is_listed(self):
        listed = set(re.findall(r"     - (\d+)\n     - ", _PAGE))
        known = {*exits.Exit, main.EXIT_SETTINGS, main.EXIT_LISTEN}
        self.assertEqual({str(int(code)) for code in known}, listed)
