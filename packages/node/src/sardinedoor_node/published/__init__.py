"""What the operator and the workers publish, as the product sees it."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import result

    from sardinedoor_schema.generated import wire


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """One incarnation of a worker, as it published itself.

    Attributes:
        name: Unique to the incarnation, apart from restarts in place.
        service: Service that it runs.
        address: IP number and port; only its own instance can connect.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        state: Whether it is leaving.
        cold_s: How much longer it stays slow after its start, in s.
        born_ms: Unix time of its start, in ms; 0 if it doesn't say.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: WorkerState = WorkerState.READY
    cold_s: float = 0.0
    born_ms: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether it may get new work."""
        return self.state is WorkerState.READY

    @property
    def host(self) -> str:
        """IP number of its instance."""
        return self.address.rpartition(":")[0]


@dataclasses.dataclass(slots=True)
class Part:
    """A share of a route's requests, and the service that gets it."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host that it belongs to, in lower case.
        prefix: Prefix of the path, from slash to slash.
        parts: Services that serve it; one or more.
        idempotent: Whether its requests may run more than once.
        timeout_s: Longest time to an answer, in s.
        objective_s: Time within which an answer has its full value, in s.
        urgency: 0 to 9; higher goes first.
        max_runs: Workers on which one request may run at most.
    """

    name: str
    host: str
    prefix: str
    parts: list[Part]
    idempotent: bool
    timeout_s: float
    objective_s: float
    urgency: int
    max_runs: int


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version of what the operator published.

    Attributes:
        version: Higher is newer.
        routes: All routes.
        connections: Connections that a worker accepts, by service.
        max_body_bytes: Longest body of a request.
        idle_s: Time after which a caller's idle connection may be closed, in s.
    """

    version: int
    routes: list[Route]
    connections: dict[str, int]
    max_body_bytes: int
    idle_s: float


class Decoder(abc.ABC):
    """Reads published items; it translates only."""

    @abc.abstractmethod
    def configuration(
        self, item: wire.Item
    ) -> result.Result[Configuration, str] | None:
        """Reads an item as configuration; None if it is none."""

    @abc.abstractmethod
    def worker(self, item: wire.Item) -> result.Result[WorkerEntry, str] | None:
        """Reads an item as a worker's entry; None if it is none."""

    @abc.abstractmethod
    def worker_name(self, key: str) -> str | None:
        """Returns the worker that a key belongs to, None for no worker."""


@dataclasses.dataclass(slots=True)
class Changes:
    """What a store holds, or what changed in it.

    Attributes:
        revision: The store's revision that this leads to.
        items: Items written or deleted, the older first.
        whole: Whether these are all items.
    """

    revision: int
    items: list[wire.Item]
    whole: bool = False


class ReadError(enum.Enum):
    """Why a store gave nothing."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OVER_RATE = "over_rate"
    HISTORY_GONE = "history_gone"


class Source(abc.ABC):
    """A store that can be read and watched."""

    @abc.abstractmethod
    async def read(self) -> result.Result[Changes, ReadError]:
        """Reads all items."""

    @abc.abstractmethod
    async def watch(
        self, revision: int, wait_s: float
    ) -> result.Result[Changes, ReadError]:
        """Waits for changes after a revision.

        Args:
            revision: The revision at hand.
            wait_s: Longest wait, in s.

        Returns:
            The changes, none if the wait ended without.
        """
