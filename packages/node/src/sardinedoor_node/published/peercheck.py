"""Check with peers of the first copy of the store that a node reads.

A store that was restored may be without withdrawals and configurations that the
other nodes have in force. A node that starts at that time doesn't use its copy
until a peer has sent what is retained from before the restore.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from sardinedoor_node.published import catalog
    from sardinedoor_node.published import fleet
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# The copy is used after this time if no peer answers.
PEER_WAIT_S = 0.3
# Others are asked after this time.
_ASK_INTERVAL_S = 0.1
# Peers that are asked at a time: of the own failure domain, or of others if it
# has none, and one of another failure domain besides.
_ASKED_PEERS = 3
_SHORTEST_WAIT_S = 0.01


class PeerCheck:
    """Asks peers while the replica awaits them, for a limited time."""

    def __init__(
        self,
        replica: catalog.Catalog,
        peers: fleet.PublishedDirectory,
        failure_domain: str,
        time: clock.Clock,
        rng: random.Random,
        ask: Callable[[str], None],
    ):
        """Creates a check that hasn't begun.

        Args:
            replica: Replica of the published items.
            peers: Directory of the other nodes.
            failure_domain: Failure domain of this node.
            time: Source of the monotonic time.
            rng: Chooses the peers.
            ask: Asks a peer, by name, for its digest.
        """
        self._catalog = replica
        self._fleet = peers
        self._domain = failure_domain
        self._clock = time
        self._rng = rng
        self._ask = ask
        self._began_at: float | None = None
        self._updated: set[str] = set()

    @property
    def has_begun(self) -> bool:
        """Whether peers were asked."""
        return self._began_at is not None

    @property
    def remaining_s(self) -> float:
        """Time until the next step; infinite if the replica needs no check."""
        if self._catalog.revision == 0:
            return _ASK_INTERVAL_S
        if self._began_at is None or not self._catalog.awaits_peers:
            return float("inf")
        passed_s = self._clock.monotonic() - self._began_at
        remaining_s = min(_ASK_INTERVAL_S, PEER_WAIT_S - passed_s)
        return max(_SHORTEST_WAIT_S, remaining_s)

    def step(self) -> None:
        """Asks some peers, or ends the wait if there are none or none answers."""
        if not self._catalog.awaits_peers:
            return
        now = self._clock.monotonic()
        if self._began_at is None:
            self._began_at = now
        near, far = self._fleet.live_peers(self._domain)
        if not near and not far and self._catalog.all_workers():
            self._catalog.admit("there are no peers")
        elif now >= self._began_at + PEER_WAIT_S:
            logger.warning(
                "no peer has confirmed the copy of the store",
                extra={"waited_s": round(now - self._began_at, 3)},
            )
            self._catalog.admit("no peer has answered in time")
        else:
            for name in self._choose(near, far):
                self._ask(name)

    def confirm(self, epoch: int, retained: int) -> bool:
        """Ends the wait if a peer knows nothing that this node lacks.

        Args:
            epoch: Epoch of the peer's replica; unknown if it is empty.
            retained: Checksum of the items that the peer retains.

        Returns:
            Whether the copy is used now.
        """
        if epoch == self._catalog.version.epoch and retained in (
            0,
            self._catalog.retained_checksum,
        ):
            self._catalog.admit("a peer has confirmed it")
            return True
        return False

    def may_update(self, name: str) -> bool:
        """Returns whether to send a snapshot to a peer of an older epoch.

        It is sent once, since the peer is asked again after it.
        """
        if name in self._updated:
            return False
        self._updated.add(name)
        return True

    def _choose(self, near: list[str], far: list[str]) -> list[str]:
        pool = near or far
        chosen = self._rng.sample(pool, min(_ASKED_PEERS, len(pool)))
        if near and far:
            chosen.append(self._rng.choice(far))
        return chosen
