"""Reads the store and keeps the copy up to date."""

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

# Bounds how long a store that went silent goes unnoticed.
WATCH_S = 1.5
# A failure domain keeps hearing from the store while most of these are gone.
READERS = 2
# Others read by themselves when no peer has been in touch for this long.
UNCONFIRMED_S = 4.0
_IDLE_S = 0.5
# Changes come in bunches; one call fetches all of this time.
_BUNCH_S = 0.3
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 1.0


class Follower:
    """Reads everything once, then watches; never faster than it is let."""

    def __init__(
        self,
        source: published.Source,
        copy: catalog.Catalog,
        known: fleet.PublishedDirectory,
        failure_domain: str,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Remembers its parts; nothing is read yet.

        Args:
            source: The store.
            copy: Takes what was read.
            known: The peers, of which only some read.
            failure_domain: Where this node is.
            time: The clock.
            rng: Spreads repeated calls.
        """
        self._source = source
        self._catalog = copy
        self._fleet = known
        self._domain = failure_domain
        self._clock = time
        self._rng = rng
        self._backoff_s = _BACKOFF_MIN_S
        self._watching = False
        self._down_since: float | None = None

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if not self._reads():
                await self._clock.sleep(_IDLE_S)
                continue
            if self._watching:
                found = await self._source.watch(
                    self._catalog.revision, WATCH_S
                )
            else:
                found = await self._source.read()
            if found.is_ok():
                self._take(found.unwrap())
                if found.unwrap().items:
                    await self._clock.sleep(_BUNCH_S)
            else:
                await self._failed(found.unwrap_err())

    def _reads(self) -> bool:
        """Tells whether this node reads, or hears from peers."""
        near, _ = self._fleet.neighbours(self._domain)
        if self._catalog.contact_age_s > UNCONFIRMED_S:
            return True
        readers = rendezvous.ranked(
            self._domain.encode(), [*near, self._fleet.own_name]
        )
        return self._fleet.own_name in readers[:READERS]

    def _take(self, changes: published.Changes) -> None:
        now = self._clock.monotonic()
        if self._down_since is not None:
            away_s = now - self._down_since
            logger.info("store regained", extra={"away_s": round(away_s, 3)})
            self._catalog.store_regained()
            self._down_since = None
        self._watching = True
        self._backoff_s = _BACKOFF_MIN_S
        self._catalog.take(changes, "store")
        if changes.revision >= self._catalog.revision:
            self._catalog.confirmed(0.0)

    async def _failed(self, error: published.ReadError) -> None:
        if error is published.ReadError.HISTORY_GONE:
            logger.warning(
                "history of the store is gone, reading all",
                extra={"revision": self._catalog.revision},
            )
            self._watching = False
        elif self._down_since is None:
            self._down_since = self._clock.monotonic()
            self._catalog.store_lost()
            logger.warning("store lost", extra={"reason": error.value})
        await self._clock.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
        self._backoff_s = min(self._backoff_s * 2, _BACKOFF_MAX_S)
