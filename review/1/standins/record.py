"""Record of what was sent, answered and run, one JSON line for each event."""

from __future__ import annotations

import json
import pathlib
import time


class Record:
    """Events of one play, in the order in which they were seen.

    Attributes:
        events: All events so far.
    """

    def __init__(self, path: pathlib.Path):
        """Starts an empty file.

        Args:
            path: The file to write.
        """
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.events: list[dict] = []

    @property
    def now_s(self) -> float:
        """Time since the start of the play, in s."""
        return round(time.monotonic() - self._started_at, 4)

    def add(self, what: str, **fields: object) -> None:
        """Adds an event.

        Args:
            what: Kind of the event.
            **fields: What else is known about it.
        """
        event = {"at_s": self.now_s, "what": what, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()

    def of(self, what: str) -> list[dict]:
        """Returns the events of one kind."""
        return [event for event in self.events if event["what"] == what]

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
