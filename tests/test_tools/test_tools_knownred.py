"""The list of known failures is applied in both folders of tests."""

from __future__ import annotations

import pathlib

import knownred
import testtools

_ROOT = pathlib.Path(knownred.__file__).resolve().parent.parent


class _Item:
    def __init__(self, path: str, name: str):
        self.path = _ROOT / path
        # Relative to the folder in which pytest runs, unlike the listed name.
        self.nodeid = f"tests/{self.path.name}::{name}"
        self.marks: list = []

    def add_marker(self, mark) -> None:
        self.marks.append(mark.name)


class KnownRedTest(testtools.TestCase):
    def test_listed_tests_of_either_folder_are_marked(self):
        entries = knownred.read_entries(
            "# test | what was seen\n"
            "tests/test_a.py::ATest::test_one | seed 4\n"
            "platform/tests/test_b.py::BTest::test_two | 1 of 40\n"
        )
        items = [
            _Item("tests/test_a.py", "ATest::test_one"),
            _Item("tests/test_a.py", "ATest::test_two"),
            _Item("platform/tests/test_b.py", "BTest::test_two"),
            _Item("tests/test_b.py", "BTest::test_two"),
        ]
        knownred.KnownRed(entries).pytest_collection_modifyitems(items)
        self.assertEqual(
            [["xfail"], [], ["xfail"], []], [item.marks for item in items]
        )
