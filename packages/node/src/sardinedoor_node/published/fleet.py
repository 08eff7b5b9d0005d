"""The directory of targets that the published entries make up."""

from __future__ import annotations

import bisect
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import directory
from sardinedoor_node.membership import targets

if TYPE_CHECKING:
    from sardinedoor_node.published import catalog
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# A leaving node ends within its grace; one that started again says so with
# its next digest.
LEAVING_S = 3.0


class PublishedDirectory(directory.Directory):
    """Targets from worker entries; each is owned by the node beside it."""

    def __init__(self, own_link: str, copy: catalog.Catalog, time: clock.Clock):
        """Remembers its parts.

        Args:
            own_link: Link address of this node, which is its name too. The
                port is the same on all nodes.
            copy: What is published.
            time: The clock.
        """
        self._own_link = own_link
        self._port = own_link.rpartition(":")[2]
        self._catalog = copy
        self._clock = time
        self._leaving: dict[str, float] = {}
        self._targets: dict[str, list[targets.Target]] = {}
        self._neighbours: dict[str, tuple[list[str], list[str]]] = {}
        copy.on_change(self._targets.clear)
        copy.on_change(self._neighbours.clear)

    @property
    def own_name(self) -> str:
        """See base class."""
        return self._own_link

    def targets(self, service: str) -> list[targets.Target]:
        """See base class."""
        entries = self._catalog.workers(service)
        found = self._targets.get(service)
        if found is None:
            found = [
                targets.Target(
                    entry.name,
                    service,
                    f"{entry.host}:{self._port}",
                    False,
                    entry.failure_domain,
                    entry.slots,
                )
                for entry in entries
            ]
            self._targets[service] = found
        if not self._leaving:
            return found
        now = self._clock.monotonic()
        return [t for t in found if self._leaving.get(t.node, now) <= now]

    def peer(self, name: str) -> directory.Peer | None:
        """See base class; a node is named by its link address."""
        return directory.Peer(name, name)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        """See base class."""
        self.leaving(peer.name)

    def leaving(self, name: str) -> None:
        """Notes that a node is leaving."""
        if name not in self._leaving:
            logger.info("peer is leaving", extra={"peer": name})
        self._leaving[name] = self._clock.monotonic() + LEAVING_S

    def staying(self, name: str) -> None:
        """Notes that a node takes work."""
        if self._leaving.pop(name, None) is not None:
            logger.info("peer is back", extra={"peer": name})

    def neighbours(self, failure_domain: str) -> tuple[list[str], list[str]]:
        """Lists the nodes beside all workers.

        Returns:
            Those in a failure domain, and the others.
        """
        found = self._neighbours.get(failure_domain)
        if found is None:
            found = self._neighbours[failure_domain] = self._split(
                failure_domain
            )
        return found

    def is_far(self, name: str, failure_domain: str) -> bool:
        """Tells whether a node is known to be in another failure domain."""
        far = self.neighbours(failure_domain)[1]
        at = bisect.bisect_left(far, name)
        return at < len(far) and far[at] == name

    def _split(self, failure_domain: str) -> tuple[list[str], list[str]]:
        near = set()
        far = set()
        for entry in self._catalog.all_workers():
            name = f"{entry.host}:{self._port}"
            same = entry.failure_domain == failure_domain
            (near if same else far).add(name)
        near.discard(self._own_link)
        far.discard(self._own_link)
        return sorted(near), sorted(far - near)
