"""Anti-entropy of the published items between nodes.

Nodes that can't reach the store are kept up to date too.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node import published
from sardinedoor_node.published import itemtransfer
from sardinedoor_node.published import peercheck
from sardinedoor_node.published import retainedexchange
from sardinedoor_node.util import listeners
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.published import catalog
    from sardinedoor_node.published import fleet
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Updates are also pushed at once, so these rounds only repair missed pushes.
GOSSIP_INTERVAL_S = 0.3
# One digest in this many goes to another failure domain.
OTHER_DOMAIN_EVERY = 4
# Items are pulled from another failure domain only if the node's own domain
# hasn't supplied them in this time: each domain has its own readers, and
# traffic between domains is costly.
OTHER_DOMAIN_PULL_DELAY_S = 0.2
# Several peers announce a change at about the same time. Its items are asked
# for again only if they haven't come in this time.
PULL_TIMEOUT_S = 0.5
# Peers of the own failure domain that an update is pushed to; they push it on.
PUSH_FANOUT = 3
# One digest in this many goes to a peer that has long been silent.
_SILENT_PEER_EVERY = 8
# Peers of the own failure domain that a contact with the store is pushed to; they
# push it on, unless they know of one that is hardly older.
_CONTACT_FANOUT = 2
_MIN_CONTACT_GAIN_S = 0.3
# Version and age of contact of a node whose replica is empty or isn't used yet.
_NO_VERSION = published.Version(published.UNKNOWN_EPOCH, 0)
_NEVER_MS = 1_000_000_000


@dataclasses.dataclass(slots=True)
class _PendingPull:
    """A delayed pull from another failure domain.

    Attributes:
        channel: Channel to the peer with the newer replica.
        version: Version of that replica.
        heard_at: When the peer's digest came, monotonic, in s.
    """

    channel: link.Channel
    version: published.Version
    heard_at: float


class AntiEntropy:
    """Exchanges digests with random peers and transfers missing items.

    A digest carries the version of a node's replica, a checksum of the items that
    it retains from before a restore of the store, and whether nothing is known of
    its worker's health. Within a failure domain the newer node sends its items at
    once; between domains a pull is delayed. Retained items are merged by both
    nodes.

    Nodes that don't know epochs run an older version of the program. A node that
    knows an epoch doesn't use their items, since these can't be compared with its
    own, and sends them its whole replica if they ask for it.
    """

    def __init__(
        self,
        own_link: str,
        failure_domain: str,
        replica: catalog.Catalog,
        peers: fleet.PublishedDirectory,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ):
        """Registers the receivers of messages; nothing is sent yet.

        Args:
            own_link: Link address of this node.
            failure_domain: Failure domain of this node.
            replica: Replica of the published items.
            peers: Directory of the other nodes.
            transport: The node's links.
            time: Source of the monotonic time.
            rng: Chooses peers and jitters the interval.
            counters: Counts the failures of listeners, and items of peers
                that aren't used.
        """
        self._own_link = own_link
        self._domain = failure_domain
        self._catalog = replica
        self._fleet = peers
        self._transport = transport
        self._clock = time
        self._rng = rng
        self._last_digest_at: dict[str, float] = {}
        self._round = 0
        self._pending_pull: _PendingPull | None = None
        self._pulled_version = _NO_VERSION
        self._pulled_at = float("-inf")
        self._pushed_contact_at = float("-inf")
        self._transfer = itemtransfer.ItemTransfer(replica, counters)
        self._retained = retainedexchange.RetainedExchange(
            replica, self._transfer, time
        )
        self._check = peercheck.PeerCheck(
            replica, peers, failure_domain, time, rng, self._ask_digest
        )
        self._digest_listeners = listeners.ListenerGroup(
            "digest received", counters
        )
        replica.on_change(self._on_change)
        replica.on_contact(self._push_contact)
        self._unproven_listeners = listeners.ListenerGroup(
            "unproven worker", counters
        )
        self.leaving = False
        self.is_unproven: Callable[[], bool] = lambda: False
        register = transport.on_message
        register(wire.Digest, self._on_digest)
        register(wire.ItemsPull, self._on_pull)
        register(wire.Items, self._on_items)

    async def run(self) -> None:
        """Runs rounds of anti-entropy until cancelled."""
        while True:
            interval_s = GOSSIP_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await self._clock.sleep(min(interval_s, self._check.remaining_s))
            self._check.step()
            self._pull_if_overdue()
            name = self._choose_peer()
            if name:
                self._send_digest(name)

    def on_digest(self, listener: Callable[[str, link.Channel], None]) -> None:
        """Registers a callback for each digest received.

        Args:
            listener: Called with the sender's name and the channel.
        """
        self._digest_listeners.add(listener)

    def on_unproven(self, listener: Callable[[str], None]) -> None:
        """Registers a callback for each digest of a node with such a worker.

        Args:
            listener: Called with the sender's name.
        """
        self._unproven_listeners.add(listener)

    def request_digest(self, channel: link.Channel) -> None:
        """Asks a peer to answer with a digest, as a sign of life."""
        digest = self._make_digest()
        digest.ask = True
        channel.send(digest)

    def _ask_digest(self, name: str) -> None:
        self.request_digest(self._transport.connect(name, name))

    def _push_contact(self) -> None:
        """Tells some peers that the replica was just current.

        Without this, peers would learn it only after several rounds, and read
        the store themselves.
        """
        if self._catalog.awaits_peers:
            return
        contact_at = self._clock.monotonic() - self._catalog.contact_age_s
        if contact_at - self._pushed_contact_at < _MIN_CONTACT_GAIN_S:
            return
        self._pushed_contact_at = contact_at
        near, _ = self._fleet.live_peers(self._domain)
        for name in self._rng.sample(near, min(_CONTACT_FANOUT, len(near))):
            self._send_digest(name)

    def _on_change(self) -> None:
        if not self._catalog.awaits_peers:
            self._push_digests()
        elif not self._check.has_begun:
            self._check.step()

    def _push_digests(self) -> None:
        near, far = self._fleet.live_peers(self._domain)
        targets = self._rng.sample(near, min(PUSH_FANOUT, len(near)))
        if far:
            targets.append(self._rng.choice(far))
        for name in targets:
            self._send_digest(name)

    def announce(self) -> None:
        """Sends a digest to all peers, for a planned stop.

        Peers of other domains may be silent for long, and those that aren't
        told offer requests until they are refused.
        """
        near, far = self._fleet.peers_by_domain(self._domain)
        for name in [*near, *far]:
            self._send_digest(name)

    def _choose_peer(self) -> str:
        near, far = self._fleet.live_peers(self._domain)
        if not near and not far:
            near = list(self._last_digest_at)
        self._round += 1
        if self._round % _SILENT_PEER_EVERY == 0:
            silent = self._fleet.silent_peers(self._domain)
            if silent:
                return self._rng.choice(silent)
        if far and (not near or self._round % OTHER_DOMAIN_EVERY == 0):
            return self._rng.choice(far)
        return self._rng.choice(near) if near else ""

    def _send_digest(self, name: str) -> None:
        channel = self._transport.connect(name, name)
        channel.send(self._make_digest())

    def _make_digest(self) -> wire.Digest:
        version = self._catalog.version
        contact_ms = self._transfer.contact_ms()
        retained = self._catalog.retained_checksum
        if self._catalog.awaits_peers:
            # Two nodes that both wait must not confirm each other.
            version, contact_ms, retained = _NO_VERSION, _NEVER_MS, 0
        return wire.Digest(
            self._own_link,
            version.revision,
            contact_ms,
            self.leaving,
            inflates=True,
            unproven=self.is_unproven(),
            epoch=version.epoch,
            retained=retained,
        )

    def _on_digest(self, channel: link.Channel, digest: wire.Digest) -> None:
        self._last_digest_at[digest.link] = self._clock.monotonic()
        if digest.leaving:
            self._fleet.mark_leaving(digest.link)
        else:
            self._fleet.mark_serving(digest.link)
        self._digest_listeners.notify(digest.link, channel)
        if digest.unproven:
            self._unproven_listeners.notify(digest.link)
        if digest.ask:
            channel.send(self._make_digest())
        theirs = published.Version(digest.epoch, digest.revision)
        if self._catalog.awaits_peers:
            self._compare_at_start(channel, digest, theirs)
        else:
            self._compare(channel, digest, theirs)

    def _compare(
        self,
        channel: link.Channel,
        digest: wire.Digest,
        theirs: published.Version,
    ) -> None:
        own = self._catalog.version
        is_far = self._fleet.is_in_other_domain(digest.link, self._domain)
        if itemtransfer.is_unplaced(theirs, own):
            # It pulls if the digest has a greater revision than its replica.
            if theirs.revision < own.revision and not digest.ask:
                channel.send(self._make_digest())
        elif theirs == own:
            self._catalog.confirm_current(digest.contact_ms / 1000)
            self._retained.on_digest(channel, digest)
        elif theirs > own:
            if not is_far:
                self._pull(channel, theirs)
            elif self._pending_pull is None:
                now = self._clock.monotonic()
                self._pending_pull = _PendingPull(channel, theirs, now)
        elif is_far:
            channel.send(self._make_digest())
        else:
            self._send_changes(channel, digest, theirs)

    def _compare_at_start(
        self,
        channel: link.Channel,
        digest: wire.Digest,
        theirs: published.Version,
    ) -> None:
        """Compares while the replica isn't used until a peer confirms it."""
        own = self._catalog.version
        if theirs.revision == 0 or itemtransfer.is_unplaced(theirs, own):
            return
        if theirs == own:
            self._catalog.confirm_current(digest.contact_ms / 1000)
        if theirs.epoch < own.epoch:
            if self._check.may_update(digest.link):
                self._send_changes(channel, digest, theirs)
                self.request_digest(channel)
            return
        if theirs > own:
            # A stale read may lack what the peer has.
            self._pull(channel, theirs)
        elif not self._check.confirm(theirs.epoch, digest.retained):
            self._retained.pull(channel, digest.retained)

    def _pull_if_overdue(self) -> None:
        """Pulls from another domain if the own domain hasn't caught up."""
        pending = self._pending_pull
        if pending is None:
            return
        if pending.version > self._catalog.version:
            if (
                self._clock.monotonic() - pending.heard_at
                < OTHER_DOMAIN_PULL_DELAY_S
            ):
                return
            self._pull(pending.channel, pending.version)
        self._pending_pull = None

    def _pull(self, channel: link.Channel, version: published.Version) -> None:
        """Asks a peer for items, unless they were just asked for.

        Args:
            channel: Channel to the peer.
            version: Version of the peer's replica.
        """
        now = self._clock.monotonic()
        if (
            version <= self._pulled_version
            and now - self._pulled_at < PULL_TIMEOUT_S
        ):
            return
        self._pulled_version = version
        self._pulled_at = now
        channel.send(self._transfer.make_pull())

    def _on_pull(self, channel: link.Channel, pull: wire.ItemsPull) -> None:
        theirs = published.Version(pull.epoch, pull.revision)
        if theirs < self._catalog.version:
            self._send_changes(channel, pull, theirs)
        else:
            self._retained.on_pull(channel, pull)

    def _send_changes(
        self,
        channel: link.Channel,
        asked: wire.Digest | wire.ItemsPull,
        theirs: published.Version,
    ) -> None:
        channel.send(
            self._transfer.make_changes(theirs, asked.retained, asked.inflates)
        )

    def _on_items(self, channel: link.Channel, items: wire.Items) -> None:
        retained = self._catalog.retained_checksum
        if not self._transfer.apply(items):
            return
        if self._catalog.awaits_peers and items.revision:
            # The peer has sent all that it retains.
            self._check.confirm(items.epoch, self._catalog.retained_checksum)
        if not retained and self._catalog.retained_checksum:
            channel.send(self._make_digest())
