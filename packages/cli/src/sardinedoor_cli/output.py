"""Prints results as text tables or JSON, and errors."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

_COLUMN_SEPARATOR = "  "


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows as a text table with aligned columns.

    Args:
        header: Names of the columns.
        rows: Cells of each row; as many as the header has.

    Returns:
        The lines of the table with its header, or "(none)" without rows.
    """
    if not rows:
        return "(none)"
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(header))]
    lines = [
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_error(text: str) -> None:
    """Prints an error message to standard error."""
    print(text, file=sys.stderr)
