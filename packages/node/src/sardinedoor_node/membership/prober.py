"""Probes all peers and exchanges member records with them."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_schema import base

INTERVAL_S = 0.5
_MISS_LIMIT = 3
_ID_BYTES = 8


class Prober:
    """Says hello to every peer at a fixed interval."""

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
    ):
        self._members = members
        self._transport = transport
        self._clock = time
        self._waiting: dict[bytes, str] = {}

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            for name in self._waiting.values():
                self._members.missed(name, _MISS_LIMIT)
            self._waiting.clear()
            for entry in self._members.peers():
                self._probe(entry)
            await self._clock.sleep(INTERVAL_S)

    def announce(self) -> None:
        """Tells every live peer the node's own record at once."""
        for entry in self._members.peers():
            if entry.alive:
                self._probe(entry)

    def _probe(self, entry: table.Entry) -> None:
        hello = wire.Hello(secrets.token_bytes(_ID_BYTES), self._members.own)
        self._waiting[hello.id] = entry.name
        channel = self._transport.connect(entry.name, entry.link)
        channel.send(hello)

    def on_message(self, channel: link.Channel, message: base.Message) -> None:
        """Handles a hello or a welcome."""
        if isinstance(message, wire.Hello):
            self._members.heard(message.member)
            channel.send(wire.Welcome(message.id, self._members.own))
        elif isinstance(message, wire.Welcome):
            self._waiting.pop(message.id, None)
            self._members.heard(message.member)
