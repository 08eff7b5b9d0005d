"""Hypothesis profiles, and expected failures from KNOWN-RED.txt."""

from __future__ import annotations

import os
import pathlib

import hypothesis
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

_KNOWN_RED_FILE = (
    pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
)


def _read_known_red() -> dict[str, str]:
    if not _KNOWN_RED_FILE.exists():
        return {}
    rows = [row.strip() for row in _KNOWN_RED_FILE.read_text().splitlines()]
    rows = [row for row in rows if row and not row.startswith("#")]
    split = [row.partition("|") for row in rows]
    return {test.strip(): rest.strip() for test, _, rest in split}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures."""
    entries = _read_known_red()
    for item in items:
        reason = entries.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Prints the listed tests, so that known failures stay visible."""
    for test, reason in _read_known_red().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
