"""Spreads what is published among peers, also to those cut off from it."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from sardinedoor_node import link
    from sardinedoor_node.published import catalog
    from sardinedoor_node.published import fleet
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Peers also push news at once, so this repairs only what a push missed.
INTERVAL_S = 0.3
# One digest in so many crosses to another failure domain.
FAR_EVERY = 4
# Items cross to another failure domain only if the near peers haven't brought
# them by then; each domain has readers of its own, and crossing costs.
FAR_PULL_S = 0.2
# Near peers that are told of news at once; the others hear from these.
NEWS_PEERS = 3


@dataclasses.dataclass(slots=True)
class _Newer:
    """A far peer that has a newer copy; its time is monotonic, in s."""

    channel: link.Channel
    revision: int
    heard_at: float


class Spread:
    """Compares revisions with random peers and hands over what they lack."""

    def __init__(
        self,
        own_link: str,
        failure_domain: str,
        copy: catalog.Catalog,
        known: fleet.PublishedDirectory,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Remembers its parts; nothing is sent yet.

        Args:
            own_link: Link address of this node.
            failure_domain: Where this node is.
            copy: What is published.
            known: The peers.
            transport: The node's links.
            time: The clock.
            rng: Chooses peers.
        """
        self._own_link = own_link
        self._domain = failure_domain
        self._catalog = copy
        self._fleet = known
        self._transport = transport
        self._clock = time
        self._rng = rng
        self._met: dict[str, float] = {}
        self._turn = 0
        self._newer: _Newer | None = None
        self._heard: list[Callable[[str, link.Channel], None]] = []
        copy.on_change(self._on_news)
        self.leaving = False
        register = transport.on_message
        register(wire.Digest, self._on_digest)
        register(wire.ItemsPull, self._on_pull)
        register(wire.Items, self._on_items)

    async def run(self) -> None:
        """Sends digests until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL_S * self._rng.uniform(0.8, 1.2))
            self._pull_if_behind()
            name = self._choose()
            if name:
                self._send(name)

    def on_heard(self, listener: Callable[[str, link.Channel], None]) -> None:
        """Registers a call for each digest, with its sender and channel."""
        self._heard.append(listener)

    def ask(self, channel: link.Channel) -> None:
        """Asks a peer for a sign of life."""
        digest = self._digest()
        digest.ask = True
        channel.send(digest)

    def _on_news(self) -> None:
        near, far = self._fleet.neighbours(self._domain)
        told = self._rng.sample(near, min(NEWS_PEERS, len(near)))
        if far:
            told.append(self._rng.choice(far))
        for name in told:
            self._send(name)

    def announce(self) -> None:
        """Tells all peers at once, for a planned stop or a start."""
        near, far = self._fleet.neighbours(self._domain)
        for name in [*near, *far]:
            self._send(name)

    def _choose(self) -> str:
        near, far = self._fleet.neighbours(self._domain)
        if not near and not far:
            near = list(self._met)
        self._turn += 1
        if far and (not near or self._turn % FAR_EVERY == 0):
            return self._rng.choice(far)
        return self._rng.choice(near) if near else ""

    def _send(self, name: str) -> None:
        channel = self._transport.connect(name, name)
        channel.send(self._digest())

    def _digest(self) -> wire.Digest:
        return wire.Digest(
            self._own_link,
            self._catalog.revision,
            self._contact_ms(),
            self.leaving,
        )

    def _contact_ms(self) -> int:
        return int(min(self._catalog.contact_age_s, 1e6) * 1000)

    def _on_digest(self, channel: link.Channel, digest: wire.Digest) -> None:
        self._met[digest.link] = self._clock.monotonic()
        if digest.leaving:
            self._fleet.leaving(digest.link)
        else:
            self._fleet.staying(digest.link)
        for listener in self._heard:
            listener(digest.link, channel)
        if digest.ask:
            channel.send(self._digest())
        own = self._catalog.revision
        if digest.revision == own:
            self._catalog.confirmed(digest.contact_ms / 1000)
        elif self._fleet.is_far(digest.link, self._domain):
            if digest.revision < own:
                channel.send(self._digest())
            elif self._newer is None:
                now = self._clock.monotonic()
                self._newer = _Newer(channel, digest.revision, now)
        elif digest.revision > own:
            channel.send(wire.ItemsPull(own))
        else:
            self._hand_over(channel, digest.revision)

    def _pull_if_behind(self) -> None:
        """Pulls from a far peer what no near one has brought."""
        newer = self._newer
        if newer is None:
            return
        if newer.revision > self._catalog.revision:
            if self._clock.monotonic() - newer.heard_at < FAR_PULL_S:
                return
            newer.channel.send(wire.ItemsPull(self._catalog.revision))
        self._newer = None

    def _on_pull(self, channel: link.Channel, pull: wire.ItemsPull) -> None:
        if pull.revision < self._catalog.revision:
            self._hand_over(channel, pull.revision)

    def _hand_over(self, channel: link.Channel, revision: int) -> None:
        changes = self._catalog.changes_after(revision)
        channel.send(
            wire.Items(
                changes.revision,
                self._contact_ms(),
                changes.whole,
                changes.items,
            )
        )

    def _on_items(self, channel: link.Channel, items: wire.Items) -> None:
        del channel
        changes = published.Changes(items.revision, items.items, items.whole)
        self._catalog.take(changes, "peer")
        if self._catalog.revision == items.revision:
            self._catalog.confirmed(items.contact_ms / 1000)
