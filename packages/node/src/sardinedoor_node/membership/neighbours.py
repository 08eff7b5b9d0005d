"""The neighbours with which a node exchanges pings and gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import membership
from sardinedoor_node.membership import rings

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

INBOUND_TIMEOUT_S = 4.0


class Neighbours:
    """Members that this node pings, and members that ping this node."""

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
    ):
        """Subscribes to changes of the member table.

        Args:
            members: The member table.
            transport: Opens links.
            time: Clock.
        """
        self._members = members
        self._transport = transport
        self._clock = time
        self._rings = rings.Rings(members.own.name)
        self._inbound: dict[str, tuple[link.Channel, float]] = {}
        members.on_change(self._on_change)

    @property
    def live_count(self) -> int:
        """Number of other members that are alive or suspect."""
        return len(self._rings)

    def _on_change(self, entry: table.Entry) -> None:
        if entry.alive and entry.link:
            self._rings.add(entry.name)
        else:
            self._rings.remove(entry.name)
        if entry.state is membership.State.REMOVED:
            self._transport.disconnect(entry.name)

    def close_idle(self) -> None:
        """Closes the idle links of the node's transport."""
        self._transport.close_idle()

    def add_inbound(self, name: str, channel: link.Channel) -> None:
        """Adds a member that pinged, or renews it.

        Args:
            name: Name of the member.
            channel: Channel on which the ping arrived; it carries gossip
                back to the member.
        """
        self._inbound[name] = (channel, self._clock.monotonic())

    def monitored(self) -> list[str]:
        """Lists the members that this node has to ping."""
        return self._rings.successors()

    def channel(self, name: str) -> link.Channel:
        """Returns the control channel to a monitored member."""
        address = self._members.entries[name].link
        return self._transport.connect_control(name, address)

    def disconnect(self, name: str) -> None:
        """Closes the control link to a member; its next use opens a new one."""
        self._transport.disconnect_control(name)

    def channels(self) -> dict[str, link.Channel]:
        """Returns the channels to all neighbours, by name."""
        found = {name: self.channel(name) for name in self.monitored()}
        oldest = self._clock.monotonic() - INBOUND_TIMEOUT_S
        for name, (channel, pinged_at) in list(self._inbound.items()):
            if pinged_at < oldest:
                del self._inbound[name]
            else:
                found.setdefault(name, channel)
        return found
