"""Follows the store by long polls and updates the replica."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_node.util import rendezvous

if TYPE_CHECKING:
    import random

    from sardinedoor_node.published import catalog
    from sardinedoor_node.published import fleet
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Also bounds the time until a store that stopped answering is detected.
WATCH_TIMEOUT_S = 1.5
# The domain still follows the store if all but one of these fail.
READERS_PER_DOMAIN = 2
# A node that isn't a reader reads the store itself if no peer has confirmed
# contact with it for this long.
FALLBACK_AFTER_S = 4.0
_STANDBY_POLL_S = 0.5
# Changes come in bursts; the next call fetches all that came in this time.
_BATCH_DELAY_S = 0.3
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 1.0


class Follower:
    """Reads a snapshot of the store, then watches for changes.

    Only a few nodes of a failure domain read the store; the others get updates
    from their peers. Failed calls are repeated with exponential backoff.
    """

    def __init__(
        self,
        source: published.Source,
        replica: catalog.Catalog,
        peers: fleet.PublishedDirectory,
        failure_domain: str,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Prepares to follow; nothing is read yet.

        Args:
            source: The store.
            replica: Replica that is kept up to date.
            peers: Directory of the nodes, from which the readers are elected.
            failure_domain: Failure domain of this node.
            time: Source of the monotonic time.
            rng: Jitters the backoff.
        """
        self._source = source
        self._catalog = replica
        self._fleet = peers
        self._domain = failure_domain
        self._clock = time
        self._rng = rng
        self._backoff_s = _BACKOFF_MIN_S
        self._watching = False
        self._lost_at: float | None = None

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if not self._is_reader():
                await self._clock.sleep(_STANDBY_POLL_S)
                continue
            if self._watching:
                found = await self._source.watch(
                    self._catalog.revision, WATCH_TIMEOUT_S
                )
            else:
                found = await self._source.read()
            if found.is_ok():
                self._apply(found.unwrap())
                if found.unwrap().items:
                    await self._clock.sleep(_BATCH_DELAY_S)
            else:
                await self._handle_failure(found.unwrap_err())

    def _is_reader(self) -> bool:
        """Returns whether this node reads the store itself.

        The readers of a failure domain are elected by rendezvous hashing.
        """
        near, _ = self._fleet.peers_by_domain(self._domain)
        if self._catalog.contact_age_s > FALLBACK_AFTER_S:
            return True
        readers = rendezvous.ranked(
            self._domain.encode(), [*near, self._fleet.own_name]
        )
        return self._fleet.own_name in readers[:READERS_PER_DOMAIN]

    def _apply(self, update: published.Update) -> None:
        now = self._clock.monotonic()
        if self._lost_at is not None:
            away_s = now - self._lost_at
            logger.info("store regained", extra={"away_s": round(away_s, 3)})
            self._catalog.store_regained()
            self._lost_at = None
        self._watching = True
        self._backoff_s = _BACKOFF_MIN_S
        self._catalog.apply(update, "store")
        if update.revision >= self._catalog.revision:
            self._catalog.confirm_current(0.0)

    async def _handle_failure(self, error: published.ReadError) -> None:
        if error is published.ReadError.HISTORY_GONE:
            logger.warning(
                "history of the store is gone, reading all",
                extra={"revision": self._catalog.revision},
            )
            self._watching = False
        elif self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            self._catalog.store_lost()
            logger.warning("store lost", extra={"reason": error.value})
        await self._clock.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
        self._backoff_s = min(self._backoff_s * 2, _BACKOFF_MAX_S)
