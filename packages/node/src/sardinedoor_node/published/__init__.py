"""Configuration and worker entries that are published in a store.

The platform's adapter implements `Decoder` and `Source`; the formats of the
store stay behind these interfaces.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import result

    from sardinedoor_node.organisations import accounts
    from sardinedoor_schema.generated import wire


class WorkerState(enum.Enum):
    """State that a worker publishes of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """The entry that one incarnation of a worker publishes.

    Attributes:
        name: Name that is unique to the incarnation, except that a worker
            restarted in place keeps it.
        service: Service that the worker runs.
        address: IP address and port; reachable only from its own instance.
        failure_domain: Failure domain that the worker runs in.
        slots: Number of requests that the worker runs concurrently.
        state: Whether the worker is ready or draining.
        cold_start_left_s: Remaining time for which the worker is slow after
            its start, in s.
        started_ms: Unix time of the worker's start, in ms; 0 if unknown.
        sequence: Number of the worker's write since its start; 0 if unknown.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: WorkerState = WorkerState.READY
    cold_start_left_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether the worker may get new requests."""
        return self.state is WorkerState.READY

    @property
    def host(self) -> str:
        """IP address of the worker's instance."""
        return self.address.rpartition(":")[0]


@dataclasses.dataclass(slots=True)
class WeightedService:
    """A service that serves a route, and its weight in the traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True)
class Organisation:
    """An organisation on whose behalf requests are made.

    Attributes:
        name: Its name, which targets are told.
        keys: The keys that its callers present.
        priority: Priority of its requests, instead of that of their routes;
            None to leave it to the routes.
        quota: Requests that it may make at all nodes together.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    quota: accounts.Quota


@dataclasses.dataclass(slots=True)
class Route:
    """Rules for the requests of one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host that requests are addressed to, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        services: Services that the requests are split among; at least one.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time until the response, in s.
        objective_s: Latency objective of a request, in s.
        priority: 0 to 9; requests of a higher priority go first.
        max_runs: Largest number of workers on which one request may run.
        public: Whether requests need no key of an organisation.
    """

    name: str
    host: str
    prefix: str
    services: list[WeightedService]
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_runs: int
    public: bool = False


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version of the configuration that the operator published.

    Attributes:
        version: Higher is newer.
        routes: All routes.
        connections: Number of connections that a worker accepts, by service.
        max_body_bytes: Largest body of a request, in bytes.
        idle_s: Time after which a caller's idle connection may be closed, in s.
        unknown_kinds: Kinds of routes that the decoder doesn't know, each
            once; their routes are not idempotent.
        organisations: The organisations whose keys are accepted; None if
            requests need no key.
    """

    version: int
    routes: list[Route]
    connections: dict[str, int]
    max_body_bytes: int
    idle_s: float
    unknown_kinds: list[str] = dataclasses.field(default_factory=list)
    organisations: list[Organisation] | None = None


class Decoder(abc.ABC):
    """Translates published items; it keeps no state."""

    @abc.abstractmethod
    def configuration(
        self, item: wire.Item
    ) -> result.Result[Configuration, str] | None:
        """Decodes a configuration.

        Returns:
            The configuration, a reason why it is invalid, or None if the item
            isn't a configuration.
        """

    @abc.abstractmethod
    def worker(self, item: wire.Item) -> result.Result[WorkerEntry, str] | None:
        """Decodes the entry of a worker.

        Returns:
            The entry, a reason why it is invalid, or None if the item isn't an
            entry of a worker.
        """

    @abc.abstractmethod
    def worker_name(self, key: str) -> str | None:
        """Returns the worker that a key belongs to, None for another key."""


# Epoch of a replica that is empty, and of messages from nodes that don't know
# epochs. It comes before all others.
UNKNOWN_EPOCH = -1
# Epoch of a store that was never restored, or that names no epoch.
FIRST_EPOCH = 0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Version:
    """Position in the history of the store; later positions are greater.

    Attributes:
        epoch: Rises each time that the store is restored from an older copy of
            its content.
        revision: Counter of the writes. After a restore it continues from the
            revision of the copy, so revisions of different epochs can't be
            compared.
    """

    epoch: int
    revision: int


@dataclasses.dataclass(slots=True)
class Update:
    """A snapshot of a store, or the changes after a revision.

    Attributes:
        revision: Revision of the store once the update is applied.
        items: Items written or deleted, the oldest first.
        is_snapshot: Whether the update has all items of the store.
        epoch: Epoch of the store that the items and the revision belong to.
        names_epoch: Whether the store named the epoch. Otherwise it is the one
            that was known before.
    """

    revision: int
    items: list[wire.Item]
    is_snapshot: bool = False
    epoch: int = 0
    names_epoch: bool = True

    @property
    def version(self) -> Version:
        """Position in the history of the store once the update is applied."""
        return Version(self.epoch, self.revision)


class ReadError(enum.Enum):
    """Why a read of the store failed.

    After `HISTORY_GONE` and `RESTORED` only a snapshot helps: the store no longer
    has the changes, or it is of a later epoch than the version asked for.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    OVER_RATE = "over_rate"
    HISTORY_GONE = "history_gone"
    RESTORED = "restored"


class Source(abc.ABC):
    """A store of published items."""

    @abc.abstractmethod
    async def read(self, epoch: int) -> result.Result[Update, ReadError]:
        """Reads a snapshot of the store, all of which is of one epoch.

        Args:
            epoch: Epoch that the caller knows. Answers that don't name their
                epoch are of this one, and those of an older one aren't used.
        """

    @abc.abstractmethod
    async def watch(
        self, version: Version, wait_s: float
    ) -> result.Result[Update, ReadError]:
        """Waits for changes after a version (long poll).

        Args:
            version: Version that the caller has.
            wait_s: Longest time to wait, in s.

        Returns:
            The changes; without items if there were none in that time.
        """
