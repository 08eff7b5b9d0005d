"""Directory of targets and peers, built from the published entries."""

from __future__ import annotations

import bisect
import collections
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import directory
from sardinedoor_node.membership import targets
from sardinedoor_node.published import liveness

if TYPE_CHECKING:
    from sardinedoor_node.published import catalog
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# A leaving node ends within its grace period. A node that has started again
# clears the mark by its next digest.
LEAVING_TTL_S = 3.0
_MAX_LEAVING_TARGETS = 1_000


class PublishedDirectory(directory.Directory):
    """Derives targets from the entries of workers.

    Each target is owned by the node on the worker's own instance.
    """

    def __init__(
        self, own_link: str, replica: catalog.Catalog, time: clock.Clock
    ):
        """Follows the replica; no node is marked as leaving yet.

        Args:
            own_link: Link address of this node, which is also its name. All
                nodes use the same port.
            replica: Replica of the published items.
            time: Source of the monotonic time.
        """
        self._own_link = own_link
        self._port = own_link.rpartition(":")[2]
        self._catalog = replica
        self._clock = time
        self._liveness = liveness.PeerLiveness(time)
        self._leaving: dict[str, float] = {}
        # Start times of the targets, by name. The mark of a target lasts until
        # it starts again, also while its entry is missing.
        self._leaving_targets: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._targets: dict[str, list[targets.Target]] = {}
        self._peers_by_domain: dict[str, tuple[list[str], list[str]]] = {}
        self._serving: list[str] = []
        self._serving_key: tuple[list[str], list[str], set[str], bool] | None
        self._serving_key = None
        replica.on_change(self._targets.clear)
        replica.on_change(self._peers_by_domain.clear)

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
                    entry.started_ms,
                )
                for entry in entries
                if self._leaving_targets.get(entry.name) != entry.started_ms
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
        self.mark_leaving(peer.name)

    def is_leaving(self, target: targets.Target) -> bool:
        """See base class."""
        entry = self._catalog.current_worker(target.worker)
        return (
            entry is None
            or not entry.accepts_requests
            or self._leaving_targets.get(entry.name) == entry.started_ms
        )

    def target_is_leaving(self, target: targets.Target) -> None:
        """See base class; the mark lasts until the target starts again."""
        if self._leaving_targets.get(target.worker, -1) >= target.started_ms:
            return
        logger.info(
            "target is leaving",
            extra={"worker": target.worker, "started_ms": target.started_ms},
        )
        self._leaving_targets[target.worker] = target.started_ms
        if len(self._leaving_targets) > _MAX_LEAVING_TARGETS:
            self._leaving_targets.popitem(last=False)
        self._targets.clear()

    def mark_leaving(self, name: str) -> None:
        """Excludes the targets of a node that is leaving.

        The mark expires after `LEAVING_TTL_S`.
        """
        if name not in self._leaving:
            logger.info("peer is leaving", extra={"peer": name})
        self._leaving[name] = self._clock.monotonic() + LEAVING_TTL_S
        self._liveness.left(name)

    def mark_serving(self, name: str) -> None:
        """Records a sign of life, and includes the node's targets again."""
        self._liveness.heard(name)
        if self._leaving.pop(name, None) is not None:
            logger.info("peer is back", extra={"peer": name})

    def peers_by_domain(
        self, failure_domain: str
    ) -> tuple[list[str], list[str]]:
        """Groups all other nodes that have a worker by failure domain.

        Entries of services that the configuration doesn't have come from other
        writers, so no node is expected at their addresses.

        Returns:
            The nodes in the failure domain, and those in other domains.
        """
        found = self._peers_by_domain.get(failure_domain)
        if found is None:
            found = self._peers_by_domain[failure_domain] = self._group_peers(
                failure_domain
            )
        return found

    def serving_nodes(
        self, failure_domain: str, include_self: bool
    ) -> list[str]:
        """Lists the nodes that aren't leaving, this one if included.

        The same list is returned until it changes.

        Args:
            failure_domain: Failure domain of this node.
            include_self: Whether this node is one of them.
        """
        near, far = self.peers_by_domain(failure_domain)
        now = self._clock.monotonic()
        leaving = {n for n, until in self._leaving.items() if until > now}
        key = (near, far, leaving, include_self)
        if self._serving_key != key:
            own = [self._own_link] if include_self else []
            self._serving_key = key
            self._serving = own + [n for n in [*near, *far] if n not in leaving]
        return self._serving

    def live_peers(self, failure_domain: str) -> tuple[list[str], list[str]]:
        """Groups the nodes that are expected to answer by failure domain.

        Returns:
            The nodes in the failure domain, and those in other domains.
        """
        near, far = self.peers_by_domain(failure_domain)
        return self._liveness.live(near), self._liveness.live(far)

    def silent_peers(self, failure_domain: str) -> list[str]:
        """Lists the peers in all domains from which nothing came for long."""
        near, far = self.peers_by_domain(failure_domain)
        return self._liveness.silent(near) + self._liveness.silent(far)

    def is_in_other_domain(self, name: str, failure_domain: str) -> bool:
        """Returns whether a node is known to be in another failure domain."""
        far = self.peers_by_domain(failure_domain)[1]
        at = bisect.bisect_left(far, name)
        return at < len(far) and far[at] == name

    def _group_peers(self, failure_domain: str) -> tuple[list[str], list[str]]:
        near = set()
        far = set()
        for entry in self._catalog.all_workers():
            if not self._catalog.is_configured(entry.service):
                continue
            name = f"{entry.host}:{self._port}"
            same = entry.failure_domain == failure_domain
            (near if same else far).add(name)
        near.discard(self._own_link)
        far.discard(self._own_link)
        self._liveness.list_peers(near | far)
        return sorted(near), sorted(far - near)
