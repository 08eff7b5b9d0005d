"""Exit codes of the client."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """What the exit code of each command means."""

    FINE = 0
    # Faults were found, a request would be refused, a promise was broken.
    NEGATIVE = 1
    # The command line itself is wrong; given by typer.
    USAGE = 2
    # A node, a file or a folder can't be read.
    UNREACHABLE = 3
    INTERRUPTED = 130
