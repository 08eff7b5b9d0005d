"""Recent use of a worker by organisation, in bounded memory."""

from __future__ import annotations

import array
import hashlib

HALF_LIFE_S = 5.0
_ROWS = 2
_CELLS = 256


class UsageSketch:
    """A count-min sketch of slot time whose counts decay.

    Organisations that share a cell in one row are told apart by the other
    row, so a busy one raises the estimate of one in 65,536 others.
    """

    __slots__ = ("_salt", "_times", "_values")

    def __init__(self, salt: bytes):
        """Starts with no use.

        Args:
            salt: Random bytes, so that nobody can choose whom to collide
                with.
        """
        self._salt = salt
        self._values = array.array("d", bytes(8 * _ROWS * _CELLS))
        self._times = array.array("d", bytes(8 * _ROWS * _CELLS))

    def cells(self, organisation: str) -> tuple[int, ...]:
        """Returns the cells of an organisation, one in each row."""
        digest = hashlib.blake2b(
            organisation.encode(), key=self._salt, digest_size=_ROWS
        ).digest()
        return tuple(row * _CELLS + n for row, n in enumerate(digest))

    def use_s(self, cells: tuple[int, ...], now: float) -> float:
        """Estimates the recent use.

        Args:
            cells: The organisation's cells.
            now: Monotonic time, in s.

        Returns:
            Slot time, in s, in which older use counts less.
        """
        return min(self._decayed(cell, now) for cell in cells)

    def add(self, cells: tuple[int, ...], seconds: float, now: float) -> None:
        """Adds slot time; a negative one corrects an estimate."""
        for cell in cells:
            self._values[cell] = max(0.0, self._decayed(cell, now) + seconds)
            self._times[cell] = now

    def _decayed(self, cell: int, now: float) -> float:
        value = self._values[cell]
        if value == 0.0:
            return value
        age_s = now - self._times[cell]
        return value * 0.5 ** (age_s / HALF_LIFE_S)
