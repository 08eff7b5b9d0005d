"""Logging as JSON lines, with a rate limit and without blocking."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

# A node serves tens of requests per second at full load. The limit keeps a
# burst of errors from using up its CPU.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 600.0


class RateLimitedHandler(logging.Handler):
    """Writes lines to a non-blocking stream, limited by a token bucket.

    Lines over the limit and lines that the stream can't accept are dropped. The
    next line that is written has their number in its field `dropped`.
    """

    def __init__(self, stream: TextIO):
        """Sets the stream's file descriptor to non-blocking mode.

        Args:
            stream: Stream that the lines are written to.
        """
        super().__init__()
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """See base class."""
        now = time.monotonic()
        new_tokens = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at = now
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
    """Configures the root logger to write JSON lines.

    Args:
        node: Name of the node, added to each line.
        level: Name of the lowest level that is logged.
        handler: Handler of the lines; by default they are written to standard
            error.
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
