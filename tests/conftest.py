"""Hypothesis profiles, and expected failures from KNOWN-RED.txt."""

from __future__ import annotations

import os

import hypothesis
import knownred
import leakcheck
import pytest

# Set by `make fuzz`, which draws new random examples in each run.
_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))

hypothesis.settings.register_profile(
    "repeatable",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
)
hypothesis.settings.register_profile(
    "long", database=None, deadline=None, max_examples=_EXAMPLES or 1
)
hypothesis.settings.load_profile("long" if _EXAMPLES else "repeatable")


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugins for known failures and for leaks."""
    knownred.register(config)
    leakcheck.register(config)
