"""Runs the short scenarios over separate processes."""

from __future__ import annotations

import pathlib

import testtools

from sardinedoor_standins.scenario import runner

_ROOTS = pathlib.Path(__file__).resolve().parent.parent / "roots"


class ScenarioTest(testtools.TestCase):
    """One test for each file below roots/scenarios."""


def _make_test(path: pathlib.Path):
    def test(self) -> None:
        verdict = runner.run_file(path, _ROOTS / "deployments")
        self.assertEqual("", verdict.failure)

    return test


for _path in sorted((_ROOTS / "scenarios").glob("*.scn")):
    setattr(ScenarioTest, f"test_{_path.stem}", _make_test(_path))
