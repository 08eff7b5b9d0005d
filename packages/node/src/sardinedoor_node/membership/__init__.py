"""Failure detection and dissemination: members, states and their workers."""

from __future__ import annotations

import enum


class State(enum.IntEnum):
    """State of a member; at equal versions, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    REMOVED = 3
