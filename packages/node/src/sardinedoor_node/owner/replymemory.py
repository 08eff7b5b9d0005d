"""Memory of the responses that a node is reading from its workers.

It answers a load at which many workers' responses are long or never end. They are
read one after another once their total reaches the limit; the workers of the others
wait, since nothing is read from their connections.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class ReplyMemory:
    """Limit on the responses that are being read, in the order of their begin.

    The response that began first is always read on, so that not all of them wait
    for each other.
    """

    def __init__(self, limit_bytes: float):
        """Starts without responses.

        Args:
            limit_bytes: Largest total of the responses being read; the one that
                began first may exceed it.
        """
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._shares: dict[ReplyShare, None] = {}

    @property
    def held_bytes(self) -> int:
        """Total of the responses being read, in bytes."""
        return self._held_bytes

    def begin(self) -> ReplyShare:
        """Returns the share of a response that is about to be read."""
        return ReplyShare(self)

    def _allows(self, share: ReplyShare, count: int) -> bool:
        # In order of the first part, not of the request: a response that the worker
        # hasn't begun must not hold up the others.
        self._shares.setdefault(share)
        if self._held_bytes + count <= self._limit_bytes:
            return True
        return next(iter(self._shares)) is share

    def _add(self, share: ReplyShare, count: int) -> None:
        self._held_bytes += count
        share.held_bytes += count

    def _end(self, share: ReplyShare) -> None:
        if share not in self._shares:
            return
        del self._shares[share]
        self._held_bytes -= share.held_bytes
        for other in list(self._shares):
            other.wake()


class ReplyShare:
    """The part of one response."""

    def __init__(self, memory: ReplyMemory):
        """Starts empty; made by `ReplyMemory.begin`."""
        self._memory = memory
        self._woken: asyncio.Event | None = None
        self.held_bytes = 0

    def reserve(self, count: int) -> Coroutine[None, None, None] | None:
        """Reserves memory for a part that was read.

        Args:
            count: Length of the part, in bytes.

        Returns:
            None, or what to wait for before the next part is read.
        """
        if self._memory._allows(self, count):
            self._memory._add(self, count)
            return None
        return self._wait(count)

    async def _wait(self, count: int) -> None:
        while not self._memory._allows(self, count):
            self._woken = asyncio.Event()
            await self._woken.wait()
        self._memory._add(self, count)

    def wake(self) -> None:
        """Lets a waiting reservation check the limit again."""
        if self._woken is not None:
            self._woken.set()

    def end(self) -> None:
        """Releases the memory once the response was read or given up."""
        self._memory._end(self)
