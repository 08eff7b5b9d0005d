"""Leaks are reported by the test that made them."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import textwrap

import leakcheck
import testtools

_TOOLS = pathlib.Path(leakcheck.__file__).resolve().parent


class LeakCheckTest(testtools.TestCase):
    def test_object_that_fails_in_its_finaliser_fails_its_own_test(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        folder = pathlib.Path(temporary.name)
        (folder / "conftest.py").write_text(
            textwrap.dedent(
                """
                import gc
                import leakcheck

                gc.disable()

                def pytest_configure(config):
                    leakcheck.register(config)
                    leakcheck.register(config)
                """
            )
        )
        (folder / "test_leaks.py").write_text(
            textwrap.dedent(
                """
                class _Leak:
                    def __init__(self):
                        self.itself = self

                    def __del__(self):
                        raise RuntimeError("leaked")

                def test_leaking():
                    _Leak()

                def test_other():
                    pass
                """
            )
        )
        finished = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "-q",
                "-p",
                "no:cacheprovider",
                "-W",
                "error::pytest.PytestUnraisableExceptionWarning",
                str(folder),
            ],
            cwd=folder,
            env={"PYTHONPATH": str(_TOOLS)},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(1, finished.returncode, finished.stdout)
        self.assertIn("ERROR test_leaks.py::test_leaking", finished.stdout)
        self.assertNotIn("test_other", finished.stdout)
