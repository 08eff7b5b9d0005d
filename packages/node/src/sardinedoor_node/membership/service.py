"""Creates and connects the components of membership."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardinedoor_node.membership import antientropy
from sardinedoor_node.membership import gossip
from sardinedoor_node.membership import memberfetch
from sardinedoor_node.membership import neighbours
from sardinedoor_node.membership import pauses
from sardinedoor_node.membership import pings
from sardinedoor_node.membership import prober
from sardinedoor_node.settings import replication
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks


class Membership:
    """Failure detection, gossip and anti-entropy of one node."""

    def __init__(
        self,
        members: table.MemberTable,
        settings_store: store.SettingsStore,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Creates the components and registers their message receivers.

        Args:
            members: The member table.
            settings_store: The settings; gossip disseminates their revisions.
            transport: The node's links.
            time: Clock.
            rng: Random number generator of the components.
            group: Runs the tasks.
        """
        self._tasks = group
        self._transport = transport
        self.pause_detector = pauses.PauseDetector(time)
        self.neighbours = neighbours.Neighbours(members, transport, time)
        self.gossip = gossip.Gossip(
            members, self.neighbours, settings_store.state, time
        )
        self.anti_entropy = antientropy.AntiEntropy(
            members, self.gossip, settings_store.states, time, group
        )
        self.pinger = pings.Pinger(
            members,
            transport,
            self.anti_entropy,
            lambda: settings_store.digest,
            time,
            group,
        )
        self.prober = prober.Prober(
            members,
            self.neighbours,
            self.pinger,
            self.anti_entropy,
            self.pause_detector,
            time,
            rng,
            group,
        )
        self.member_fetcher = memberfetch.MemberFetcher(
            members, self.neighbours, self.gossip, time, rng
        )
        self.settings_replicator = replication.SettingsReplicator(
            settings_store, self.neighbours, self.gossip, rng
        )
        self._register()

    def _register(self) -> None:
        register = self._transport.on_message
        register(wire.Ping, self._on_ping)
        register(wire.Ack, self.pinger.on_ack)
        register(wire.Nack, self.pinger.on_nack)
        register(wire.PingRequest, self.pinger.on_request)
        register(wire.Gossip, self.gossip.on_message)
        register(wire.SyncRequest, self.anti_entropy.on_request)
        register(wire.Sync, self.anti_entropy.on_reply)
        register(wire.MemberPull, self.member_fetcher.on_pull)
        register(wire.MemberBodies, self.member_fetcher.on_bodies)
        register(wire.SettingsPull, self.settings_replicator.on_pull)
        register(wire.SettingsBodies, self.settings_replicator.on_bodies)

    def _on_ping(self, channel: link.Channel, ping: wire.Ping) -> None:
        self.neighbours.add_inbound(ping.sender, channel)
        self.pinger.on_ping(channel, ping)

    def start(self) -> None:
        """Starts the background tasks of the components."""
        self.prober.start()
        self._tasks.supervise(self.gossip.run, "gossip")
        self._tasks.supervise(self.member_fetcher.run, "bodies")
        self._tasks.supervise(self.settings_replicator.run, "spread")
