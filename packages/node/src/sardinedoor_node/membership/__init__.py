"""Who exists, who is alive, and which workers they own."""

from __future__ import annotations

import enum


class State(enum.IntEnum):
    """What is believed of a member; for one version, higher replaces lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    REMOVED = 3
