"""Exit codes of the client."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """Exit codes that all commands share."""

    FINE = 0
    # The command ran, but its result is negative: it found faults, the node
    # is not ready, a request would be refused, an edit was refused, or the
    # load run broke a guarantee.
    NEGATIVE = 1
    # The command line is invalid; typer exits with this code.
    USAGE = 2
    # A node can't be reached or its response is invalid, or the folder of a
    # deployment is invalid.
    UNREACHABLE = 3
    INTERRUPTED = 130
