"""Parsing of scenario files and its error messages."""

from __future__ import annotations

import pathlib

import testtools

from sardinedoor_standins.scenario import parser

_ROOTS = pathlib.Path(__file__).resolve().parent.parent / "roots"
_HEAD = 'scenario "t"\ndeployment small\nseed 1\n\n'


class ParserTest(testtools.TestCase):
    def test_each_file_parses(self):
        for path in sorted(_ROOTS.glob("scenarios/**/*.scn")):
            parsed = parser.parse(path.read_text(), path.name)
            self.assertTrue(parsed.lines, path.name)

    def test_line_numbers_and_arguments(self):
        text = _HEAD + (
            "start fleet # all of it\n\n"
            'edit licensing replace "a = 1" by "a = 2\\nb = 3"\n'
            "permits-1 fails 1 in 3\n"
            "expect permits-1 out of rotation within 1.5 s\n"
        )
        lines = parser.parse(text, "t.scn").lines
        self.assertEqual([5, 7, 8, 9], [line.number for line in lines])
        self.assertEqual("a = 2\nb = 3", lines[1].step.new)
        self.assertEqual((1, 3), (lines[2].step.failing, lines[2].step.of))
        self.assertEqual(1.5, lines[3].step.limit_s)

    def test_syntax_errors_contain_file_and_line(self):
        rows = (
            ("", "t.scn:"),
            ("start fleet\n", "t.scn:1:"),
            (_HEAD + "start fleet\nexplode a-0\n", "t.scn:6:"),
            (_HEAD + "wait soon\n", "t.scn:5:"),
            (_HEAD + "expect no luck\n", "t.scn:5:"),
            (_HEAD + "permits-1 fails 1 in\n", "t.scn:5:"),
        )
        for text, where in rows:
            error = self.assertRaises(
                parser.ScenarioSyntaxError, parser.parse, text, "t.scn"
            )
            self.assertIn(where, str(error))
