"""Wires the parts of membership together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardinedoor_node.membership import bodies
from sardinedoor_node.membership import gossip
from sardinedoor_node.membership import lag
from sardinedoor_node.membership import neighbours
from sardinedoor_node.membership import pings
from sardinedoor_node.membership import prober
from sardinedoor_node.membership import sync
from sardinedoor_node.settings import spread
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks


class Membership:
    """Probing, gossip and repair of one node."""

    def __init__(
        self,
        members: table.MemberTable,
        settings_store: store.SettingsStore,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
    ):
        """Builds the parts and registers their messages.

        Args:
            members: The table.
            settings_store: The settings, which travel with the gossip.
            transport: The node's links.
            time: Clock.
            rng: Source of randomness.
            group: Runs the tasks.
        """
        self._tasks = group
        self._transport = transport
        self.guard = lag.LagGuard(time)
        self.near = neighbours.Neighbours(members, transport, time)
        self.gossip = gossip.Gossip(
            members, self.near, settings_store.state, time
        )
        self.sync = sync.Sync(
            members, self.gossip, settings_store.states, time, group
        )
        self.pinger = pings.Pinger(
            members,
            transport,
            self.sync,
            lambda: settings_store.digest,
            time,
            group,
        )
        self.prober = prober.Prober(
            members,
            self.near,
            self.pinger,
            self.sync,
            self.guard,
            time,
            rng,
            group,
        )
        self.fetcher = bodies.BodyFetcher(
            members, self.near, self.gossip, time, rng
        )
        self.spread = spread.SettingsSpread(
            settings_store, self.near, self.gossip, rng
        )
        self._register()

    def _register(self) -> None:
        register = self._transport.on_message
        register(wire.Ping, self._on_ping)
        register(wire.Ack, self.pinger.on_ack)
        register(wire.Nack, self.pinger.on_nack)
        register(wire.PingRequest, self.pinger.on_request)
        register(wire.Gossip, self.gossip.on_message)
        register(wire.SyncRequest, self.sync.on_request)
        register(wire.Sync, self.sync.on_reply)
        register(wire.MemberPull, self.fetcher.on_pull)
        register(wire.MemberBodies, self.fetcher.on_bodies)
        register(wire.SettingsPull, self.spread.on_pull)
        register(wire.SettingsBodies, self.spread.on_bodies)

    def _on_ping(self, channel: link.Channel, ping: wire.Ping) -> None:
        self.near.heard(ping.sender, channel)
        self.pinger.on_ping(channel, ping)

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks.spawn(self.prober.run(), "prober")
        self._tasks.spawn(self.gossip.run(), "gossip")
        self._tasks.spawn(self.fetcher.run(), "bodies")
        self._tasks.spawn(self.spread.run(), "spread")
