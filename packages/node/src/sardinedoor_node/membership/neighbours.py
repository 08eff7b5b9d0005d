"""The few active links over which a node probes and spreads news."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import membership
from sardinedoor_node.membership import rings

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock

INBOUND_S = 4.0


class Neighbours:
    """Members that this node watches, and those that watch it."""

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
    ):
        """Follows the table of members.

        Args:
            members: The table.
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
    def live(self) -> int:
        """Number of other members that are alive."""
        return len(self._rings)

    def _on_change(self, entry: table.Entry) -> None:
        if entry.alive and entry.link:
            self._rings.put(entry.name)
        else:
            self._rings.drop(entry.name)
        if entry.state is membership.State.REMOVED:
            self._transport.disconnect(entry.name)

    def close_idle(self) -> None:
        """Closes links for requests that have long been of no use."""
        self._transport.close_idle()

    def heard(self, name: str, channel: link.Channel) -> None:
        """Notes a ping, whose channel serves to send news back."""
        self._inbound[name] = (channel, self._clock.monotonic())

    def watched(self) -> list[str]:
        """Lists the members that this node has to watch."""
        return self._rings.successors()

    def channel(self, name: str) -> link.Channel:
        """Returns the channel to a watched member."""
        address = self._members.entries[name].link
        return self._transport.connect_control(name, address)

    def reopen(self, name: str) -> None:
        """Closes the link to a member; the next use opens a fresh one."""
        self._transport.disconnect_control(name)

    def channels(self) -> dict[str, link.Channel]:
        """Returns the channels to all neighbours, by name."""
        found = {name: self.channel(name) for name in self.watched()}
        oldest = self._clock.monotonic() - INBOUND_S
        for name, (channel, when) in list(self._inbound.items()):
            if when < oldest:
                del self._inbound[name]
            else:
                found.setdefault(name, channel)
        return found
