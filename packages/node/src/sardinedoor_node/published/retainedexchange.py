"""Exchange of the items that nodes retain from before a restore of the store.

Nodes at the same version may retain different items. Each of two such nodes sends
its own to the other, which merges them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.published import catalog
    from sardinedoor_node.published import itemtransfer
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

# Several peers announce the same checksum at about the same time. The items are
# asked for again only if they haven't come in this time.
PULL_TIMEOUT_S = 0.5


class RetainedExchange:
    """Sends and pulls retained items where checksums differ.

    A pull isn't answered by a digest, so that an exchange ends even if the two
    nodes don't come to retain the same.
    """

    def __init__(
        self,
        replica: catalog.Catalog,
        transfer: itemtransfer.ItemTransfer,
        time: clock.Clock,
    ):
        """Creates an exchange that hasn't pulled anything.

        Args:
            replica: Replica of the published items.
            transfer: Makes the messages.
            time: Source of the monotonic time.
        """
        self._catalog = replica
        self._transfer = transfer
        self._clock = time
        self._pulled_checksum = 0
        self._pulled_at = float("-inf")

    def on_digest(self, channel: link.Channel, digest: wire.Digest) -> None:
        """Exchanges retained items with a peer at the same version."""
        own = self._catalog.retained_checksum
        if digest.retained == own:
            return
        if own:
            channel.send(self._transfer.make_retained(digest.inflates))
        if digest.retained:
            self.pull(channel, digest.retained)

    def pull(self, channel: link.Channel, checksum: int) -> None:
        """Asks a peer for retained items, unless they were just asked for.

        Args:
            channel: Channel to the peer.
            checksum: Checksum of the items that the peer retains.
        """
        now = self._clock.monotonic()
        if (
            checksum == self._pulled_checksum
            and now - self._pulled_at < PULL_TIMEOUT_S
        ):
            return
        self._pulled_checksum = checksum
        self._pulled_at = now
        channel.send(self._transfer.make_pull())

    def on_pull(self, channel: link.Channel, pull: wire.ItemsPull) -> None:
        """Answers a peer of the same epoch that lacks no item of the store."""
        own = self._catalog.retained_checksum
        if (
            pull.epoch == self._catalog.version.epoch
            and own
            and own != pull.retained
        ):
            channel.send(self._transfer.make_retained(pull.inflates))
