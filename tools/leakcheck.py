"""Pytest plugin: collects garbage after each test, which reports its leaks.

A connection that is still open when its event loop closes fails in its finaliser. If
the garbage collector ran that later, the failure would be counted against another test,
or end the run while a traceback is printed.
"""

from __future__ import annotations

from collections.abc import Generator
import gc

import pytest


class LeakCheck:
    """Runs the finalisers of a test's objects before the test ends."""

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_call(self) -> Generator[None, object, object]:
        """Collects garbage after a test."""
        try:
            return (yield)
        finally:
            gc.collect()


def register(config: pytest.Config) -> None:
    """Adds the plugin to a run, unless another folder's tests have added it."""
    if not config.pluginmanager.has_plugin("leak-check"):
        config.pluginmanager.register(LeakCheck(), "leak-check")
