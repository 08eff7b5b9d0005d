"""JSON line logs."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def configure(node: str, level: str) -> None:
    """Sends all logs to standard error as JSON lines.

    Args:
        node: Name of the node, added to each line.
        level: Lowest level that is logged.
    """
    handler = logging.StreamHandler(sys.stderr)
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
