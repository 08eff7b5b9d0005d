"""Owner role: every request to the node's own workers passes through it."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.owner import target
    from sardinedoor_node.owner import workers
    from sardinedoor_schema.generated import wire


class Client(abc.ABC):
    """Sends requests to one worker."""

    @abc.abstractmethod
    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """Runs a request at the worker and reads the whole response.

        A request that isn't idempotent is sent at most once.

        Args:
            request: The request to send.
            idempotent: Whether the request may be sent over a reused
                connection, and a second time if that one stays silent.
            remaining_s: Time left until the deadline, in s.

        Returns:
            The response, or the code of the failure. If the outcome of the
            code is "not run", no byte of the request was sent.
        """

    @abc.abstractmethod
    async def is_listening(self) -> bool:
        """Returns whether the worker accepts a new connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all idle connections."""


class DelegatingClient(Client):
    """Base of clients that wrap another client and override `run`."""

    def __init__(self, inner: Client):
        """Wraps a client.

        Args:
            inner: The client that sends the requests.
        """
        self._inner = inner

    @property
    def max_idle(self) -> int:
        """Largest number of idle connections kept open."""
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
    """Accepts or refuses offers according to the health of the worker.

    Attributes:
        is_limited: Whether the worker announces a limit on its requests.
    """

    is_limited = False

    @abc.abstractmethod
    def admits(self, offer: wire.Offer) -> bool:
        """Returns whether the worker's health allows an offer."""

    @abc.abstractmethod
    def annotate_load(self, name: str, load: wire.Load) -> None:
        """Adds a worker's health to the load report for ingresses.

        Args:
            name: Name of the worker.
            load: The report, changed in place.
        """


class WorkerFinder(abc.ABC):
    """Looks up the node's own workers; `dict` is a virtual subclass."""

    @abc.abstractmethod
    def get(self, name: str) -> workers.LocalWorker | None:
        """Returns a worker by name, None if the node doesn't own it."""


WorkerFinder.register(dict)
