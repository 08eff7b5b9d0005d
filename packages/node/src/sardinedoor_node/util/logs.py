"""JSON line logs, bounded in rate, that never block."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

# At full load a node decides on tens of requests a second; a storm of errors
# must not take its processor.
LINES_PER_S = 200.0
BURST_LINES = 600.0


class BoundedHandler(logging.Handler):
    """Writes lines at a bounded rate, and drops what nobody reads.

    Dropped lines are counted in the next line that is written.
    """

    def __init__(self, stream: TextIO):
        """Takes over a stream; its descriptor no longer blocks.

        Args:
            stream: Where the lines go.
        """
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._tokens = BURST_LINES
        self._at = time.monotonic()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """See base class."""
        now = time.monotonic()
        earned = (now - self._at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        record.dropped = self._dropped
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
            self._dropped = 0
        except OSError:
            self._dropped += 1


def configure(
    node: str, level: str, handler: logging.Handler | None = None
) -> None:
    """Sends all logs to standard error, or a handler, as JSON lines.

    Args:
        node: Name of the node, added to each line.
        level: Lowest level that is logged.
        handler: Takes the lines; by default standard error does.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
