"""Published items in a form that is easy to write in a test."""

from __future__ import annotations

import result

from sardinedoor_node import published

WORKER = "w/"


class TextDecoder(published.Decoder):
    """Values are `version` or `address/service/born/state/domain`.

    The domain may be left out and is `a` then.
    """

    def configuration(self, item):
        """See base class."""
        if item.key != "c":
            return None
        if not item.value.isdigit():
            return result.Err("no number")
        return result.Ok(
            published.Configuration(int(item.value), [], {}, 1, 1.0)
        )

    def worker_name(self, key):
        """See base class."""
        return key.removeprefix(WORKER) if key.startswith(WORKER) else None

    def worker(self, item):
        """See base class."""
        try:
            parts = item.value.decode().split("/")
            address, service, born, state = parts[:4]
            return result.Ok(
                published.WorkerEntry(
                    item.key.removeprefix(WORKER),
                    service,
                    address,
                    parts[4] if len(parts) > 4 else "a",
                    3,
                    published.WorkerState(state),
                    started_ms=int(born),
                )
            )
        except ValueError as e:
            return result.Err(str(e))
