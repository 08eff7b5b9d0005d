"""Asks peers how long the lists of workers have been in force."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Collection

    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import homes
    from sardinedoor_node.util import clock

ASK_S = 0.5
_ASKS = 30
_PEERS = 3


class ListAges:
    """Lets a node that has just started vouch for new keys sooner."""

    def __init__(
        self,
        services: Collection[str],
        key_homes: homes.Homes,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Asks nothing yet.

        Args:
            services: Services of the node's own workers.
            key_homes: What the answers are for.
            members: The peers.
            transport: The links to them.
            time: The clock.
            rng: Source of randomness.
        """
        self._services = services
        self._homes = key_homes
        self._members = members
        self._transport = transport
        self._clock = time
        self._rng = rng

    async def run(self) -> None:
        """Asks until all lists are old enough, or for long enough."""
        for _ in range(_ASKS):
            open_services = [
                s for s in self._services if not self._homes.settled(s)
            ]
            if not open_services:
                return
            for service in open_services:
                self._ask(service)
            await self._clock.sleep(ASK_S)

    def _ask(self, service: str) -> None:
        nodes = {t.node for t in self._members.targets(service)}
        nodes.discard(self._members.own.name)
        names = sorted(nodes)
        request = wire.ListAgeRequest(service, self._homes.digest(service))
        for name in self._rng.sample(names, min(_PEERS, len(names))):
            entry = self._members.entries[name]
            self._transport.connect(entry.name, entry.link).send(request)

    def on_request(
        self, channel: link.Channel, request: wire.ListAgeRequest
    ) -> None:
        """Answers a peer that has the same list."""
        digest = self._homes.digest(request.service)
        if digest == request.digest:
            age_ms = self._homes.age_ms(request.service)
            channel.send(wire.ListAge(request.service, digest, age_ms))

    def on_answer(self, channel: link.Channel, answer: wire.ListAge) -> None:
        """Takes a peer's answer."""
        del channel
        self._homes.confirm(answer.service, answer.digest, answer.age_ms)
