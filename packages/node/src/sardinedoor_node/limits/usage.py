"""Estimates each organisation's recent usage of a worker, in fixed memory."""

from __future__ import annotations

import array
import hashlib

HALF_LIFE_S = 5.0
_HASH_ROWS = 2
_CELLS_PER_ROW = 256


class UsageSketch:
    """Count-min sketch of slot time with exponential decay.

    The estimate is the minimum over two rows of 256 cells, so a busy
    organisation raises the estimate of only one in 65,536 others.
    """

    __slots__ = ("_salt", "_updated_at", "_values")

    def __init__(self, salt: bytes):
        """Creates an empty sketch.

        Args:
            salt: Random key of the hash, so that nobody can choose a name
                that collides with another organisation's.
        """
        self._salt = salt
        self._values = array.array("d", bytes(8 * _HASH_ROWS * _CELLS_PER_ROW))
        self._updated_at = array.array(
            "d", bytes(8 * _HASH_ROWS * _CELLS_PER_ROW)
        )

    def cells(self, organisation: str) -> tuple[int, ...]:
        """Returns the indices of an organisation's cells, one per row."""
        digest = hashlib.blake2b(
            organisation.encode(), key=self._salt, digest_size=_HASH_ROWS
        ).digest()
        return tuple(row * _CELLS_PER_ROW + n for row, n in enumerate(digest))

    def usage_s(self, cells: tuple[int, ...], now: float) -> float:
        """Estimates an organisation's recent usage.

        Args:
            cells: Indices of the organisation's cells.
            now: Monotonic time, in s.

        Returns:
            Slot time with exponential decay, in s.
        """
        return min(self._decayed(cell, now) for cell in cells)

    def add(self, cells: tuple[int, ...], seconds: float, now: float) -> None:
        """Adds slot time to an organisation's usage.

        Args:
            cells: Indices of the organisation's cells.
            seconds: Slot time, in s; negative to correct an earlier charge.
            now: Monotonic time, in s.
        """
        for cell in cells:
            self._values[cell] = max(0.0, self._decayed(cell, now) + seconds)
            self._updated_at[cell] = now

    def _decayed(self, cell: int, now: float) -> float:
        value = self._values[cell]
        if value == 0.0:
            return value
        age_s = now - self._updated_at[cell]
        return value * 0.5 ** (age_s / HALF_LIFE_S)
