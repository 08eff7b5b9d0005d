"""Limits on what one node holds for its callers, and who gives way at a limit.

It answers callers that nobody controls: they read long answers slowly, begin bodies that
they never end, or leave connections open. What a node holds for all of them together
stays below a part of the machine's memory and descriptors. At a limit the caller that
makes the least progress gives way, not the one that comes next.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.ingress import reader

MAX_TOTAL_BODY_BYTES = 16 * 1024 * 1024
MAX_UNSENT_BYTES = 128 * 1024 * 1024
_MB = 1024 * 1024
_BODY_MEMORY_SHARE = 0.08
_UNSENT_MEMORY_SHARE = 0.15
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# The others are for links to nodes and connections to the worker.
_CALLER_DESCRIPTOR_SHARE = 0.6
# A body without progress for less isn't taken to be stalled, in s.
_STALLED_S = 1.0
# A connection that has been idle for less isn't displaced, in s.
_MIN_IDLE_S = 1.0


@dataclasses.dataclass(slots=True)
class BufferLimits:
    """What a node holds for its callers at most.

    Attributes:
        connections: Open connections whose requests are served.
        body_bytes: Request bodies that are read or forwarded, in bytes.
        unsent_bytes: Responses that aren't sent whole, in bytes. A single
            longer one is still sent.
    """

    connections: int
    body_bytes: int = dataclasses.field(
        default_factory=lambda: MAX_TOTAL_BODY_BYTES
    )
    unsent_bytes: int = MAX_UNSENT_BYTES

    @classmethod
    def for_machine(
        cls, connections: int, memory_mb: int, descriptors: int
    ) -> BufferLimits:
        """Returns limits that fit a machine.

        Args:
            connections: Largest number of connections on any machine.
            memory_mb: Memory of the process, in MB; 0 if unknown.
            descriptors: Descriptors of the process; 0 if unknown.
        """
        limits = cls(connections)
        if memory_mb:
            limits.body_bytes = min(
                limits.body_bytes, int(_BODY_MEMORY_SHARE * memory_mb * _MB)
            )
            limits.unsent_bytes = min(
                limits.unsent_bytes,
                int(_UNSENT_MEMORY_SHARE * memory_mb * _MB),
            )
        if descriptors:
            left = max(0, descriptors - _FILE_DESCRIPTORS)
            limits.connections = min(
                connections, int(_CALLER_DESCRIPTOR_SHARE * left)
            )
        return limits


def slowest_receivers(
    connections: Iterable[reader.CallerConnection], excess: int, now: float
) -> list[reader.CallerConnection]:
    """Chooses connections whose responses add up to an excess.

    Args:
        connections: The open connections.
        excess: Bytes to free.
        now: Monotonic time, in s.
    """
    sending = [c for c in connections if c.held_bytes]
    sending.sort(key=lambda c: c.sending_rate(now))
    chosen = []
    for connection in sending:
        if excess <= 0:
            break
        excess -= connection.held_bytes
        chosen.append(connection)
    return chosen


def most_stalled_body(
    connections: Iterable[reader.CallerConnection], now: float
) -> reader.CallerConnection | None:
    """Returns the connection whose body has made no progress for longest.

    Args:
        connections: The open connections.
        now: Monotonic time, in s.
    """
    stalled = [c for c in connections if c.body_bytes]
    chosen = min(stalled, key=lambda c: c.body_progress_at, default=None)
    if chosen is None or now - chosen.body_progress_at < _STALLED_S:
        return None
    return chosen


def longest_idle(
    connections: Iterable[reader.CallerConnection], now: float
) -> reader.CallerConnection | None:
    """Returns the connection that has waited for a request for longest.

    Args:
        connections: The open connections.
        now: Monotonic time, in s.
    """
    idle = [c for c in connections if c.idle]
    chosen = min(idle, key=lambda c: c.state_since, default=None)
    if chosen is None or now - chosen.state_since < _MIN_IDLE_S:
        return None
    return chosen
