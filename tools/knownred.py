"""Pytest plugin: tests listed in KNOWN-RED.txt are expected to fail."""

from __future__ import annotations

import pathlib

import pytest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_LIST = _ROOT / "KNOWN-RED.txt"


def read_entries(text: str) -> dict[str, str]:
    """Reads the list: one entry a line, the test and its description.

    Args:
        text: Text of the list; the two parts of a line are separated by `|`,
            and lines that begin with `#` are comments.

    Returns:
        The descriptions by test. A test is named by the path of its file,
        relative to the root of the repository, `::` and its name in the file;
        other commands may be listed too.
    """
    rows = [row.strip() for row in text.splitlines()]
    split = [row.partition("|") for row in rows if row and row[0] != "#"]
    return {test.strip(): rest.strip() for test, _, rest in split}


class KnownRed:
    """Marks the listed tests as expected failures and prints the list."""

    def __init__(self, entries: dict[str, str]):
        """Stores the descriptions of the known failures by test."""
        self._entries = entries

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Marks the listed tests."""
        for item in items:
            path = item.path.relative_to(_ROOT).as_posix()
            name = item.nodeid.partition("::")[2]
            reason = self._entries.get(f"{path}::{name}")
            if reason is not None:
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_terminal_summary(self, terminalreporter) -> None:
        """Prints the list, so that known failures stay visible."""
        for test, reason in self._entries.items():
            terminalreporter.write_line(f"known red: {test}: {reason}")


def register(config: pytest.Config) -> None:
    """Adds the plugin to a run, unless another folder's tests have added it.

    The entries come from KNOWN-RED.txt.
    """
    if config.pluginmanager.has_plugin("known-red"):
        return
    text = _LIST.read_text() if _LIST.exists() else ""
    config.pluginmanager.register(KnownRed(read_entries(text)), "known-red")
