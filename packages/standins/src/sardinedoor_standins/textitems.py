"""Decoder of published items in a short text form for tests."""

from __future__ import annotations

import result

from sardinedoor_node import published

CONFIGURATION = "c"
WORKER = "w/"


def worker_value(
    address: str,
    started_ms: int = 1,
    state: str = "ready",
    domain: str = "a",
    sequence: int = 0,
) -> bytes:
    """Returns the value of the entry of a worker of the service `pay`."""
    return f"{address}/pay/{started_ms}/{state}/{domain}/{sequence}".encode()


class TextDecoder(published.Decoder):
    """Decodes items whose values are short texts.

    The configuration has the value `version`, and the service `pay`. A worker
    has the value `address/service/born/state/domain/sequence`. The domain is
    optional and `a` by default, and so is the sequence number, 0 by default.
    """

    def configuration(self, item):
        """See base class."""
        if item.key != CONFIGURATION:
            return None
        if not item.value.isdigit():
            return result.Err("no number")
        return result.Ok(
            published.Configuration(int(item.value), [], {"pay": 1}, 1, 1.0)
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
                    sequence=int(parts[5]) if len(parts) > 5 else 0,
                )
            )
        except ValueError as e:
            return result.Err(str(e))
