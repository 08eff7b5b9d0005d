"""The part of a node through which all work reaches its own workers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.owner import target
    from sardinedoor_node.owner import workers
    from sardinedoor_schema.generated import wire


class Client(abc.ABC):
    """Takes requests to one worker."""

    @abc.abstractmethod
    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """Sends a request at most once and reads the whole answer.

        Args:
            request: What to send.
            idempotent: Whether a kept connection may be used.
            remaining_s: Time left, in s.

        Returns:
            The answer, or a code. A code whose outcome is "not run" says
            that not one byte of the request was sent.
        """

    @abc.abstractmethod
    async def is_listening(self) -> bool:
        """Tells whether the worker accepts a new connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all kept connections."""


class WrappingClient(Client):
    """Passes everything but the requests on to another client."""

    def __init__(self, inner: Client):
        """Remembers the other client.

        Args:
            inner: Takes the requests to the worker.
        """
        self._inner = inner

    @property
    def max_idle(self) -> int:
        """How many idle connections are kept at most."""
        return self._inner.max_idle

    @max_idle.setter
    def max_idle(self, limit: int) -> None:
        self._inner.max_idle = limit

    async def is_listening(self) -> bool:
        """See base class."""
        return await self._inner.is_listening()

    def close(self) -> None:
        """See base class."""
        self._inner.close()


class Gate(abc.ABC):
    """Lets the health of workers decide on offers."""

    @abc.abstractmethod
    def admits(self, offer: wire.Offer) -> bool:
        """Tells whether a worker takes an offer."""

    @abc.abstractmethod
    def describe(self, name: str, load: wire.Load) -> None:
        """Adds a worker's health to what ingresses hear of its load."""


class WorkerFinder(abc.ABC):
    """Finds the node's own workers; a dictionary by name is one."""

    @abc.abstractmethod
    def get(self, name: str) -> workers.LocalWorker | None:
        """Returns a worker by name, None if the node doesn't own it."""


WorkerFinder.register(dict)
