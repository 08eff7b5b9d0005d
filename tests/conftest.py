"""Settings of the tests, and the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import os
import pathlib

import hypothesis
import pytest

# `make fuzz` sets the number and draws new examples each time.
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

_LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _entries() -> dict[str, str]:
    if not _LIST.exists():
        return {}
    rows = [row.strip() for row in _LIST.read_text().splitlines()]
    rows = [row for row in rows if row and not row.startswith("#")]
    split = [row.partition("|") for row in rows]
    return {test.strip(): rest.strip() for test, _, rest in split}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks exactly the listed tests as expected to fail."""
    entries = _entries()
    for item in items:
        reason = entries.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Prints the list, so that no known failure is out of sight."""
    for test, reason in _entries().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
