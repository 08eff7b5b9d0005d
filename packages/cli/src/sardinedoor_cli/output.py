"""Prints results for people, or as JSON for scripts."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

_GAP = "  "


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lays out rows in columns.

    Args:
        header: Names of the columns.
        rows: Cells; each row as long as the header.

    Returns:
        Lines with a header, or one that tells there is nothing.
    """
    if not rows:
        return "(none)"
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(header))]
    lines = [
        _GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def complain(text: str) -> None:
    """Prints an error."""
    print(text, file=sys.stderr)
