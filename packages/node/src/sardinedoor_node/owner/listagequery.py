"""Queries to peers for how long the lists of workers have been in force."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Collection

    from sardinedoor_node import link
    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import placement
    from sardinedoor_node.util import clock

QUERY_INTERVAL_S = 0.5
_MAX_ROUNDS = 30
_PEERS_PER_ROUND = 3


class ListAgeQuery:
    """Learns the age of the lists of workers from peers.

    With it a node that has just started can accept new idempotency keys before
    it has observed the lists for long enough itself.
    """

    def __init__(
        self,
        services: Collection[str],
        key_placement: placement.KeyPlacement,
        members: table.MemberTable,
        transport: link.Transport,
        time: clock.Clock,
        rng: random.Random,
    ):
        """Stores the collaborators; sends nothing.

        Args:
            services: Services of the node's own workers.
            key_placement: Placement that receives the ages.
            members: Source of the peers.
            transport: Links to the peers.
            time: The clock.
            rng: Source of randomness.
        """
        self._services = services
        self._placement = key_placement
        self._members = members
        self._transport = transport
        self._clock = time
        self._rng = rng

    async def run(self) -> None:
        """Queries peers until the history of all lists is known.

        Gives up after `_MAX_ROUNDS` rounds.
        """
        for _ in range(_MAX_ROUNDS):
            pending_services = [
                s
                for s in self._services
                if not self._placement.has_known_history(s)
            ]
            if not pending_services:
                return
            for service in pending_services:
                self._query_peers(service)
            await self._clock.sleep(QUERY_INTERVAL_S)

    def _query_peers(self, service: str) -> None:
        nodes = {t.node for t in self._members.targets(service)}
        nodes.discard(self._members.own.name)
        names = sorted(nodes)
        request = wire.ListAgeRequest(
            service, self._placement.list_digest(service)
        )
        for name in self._rng.sample(names, min(_PEERS_PER_ROUND, len(names))):
            entry = self._members.entries[name]
            self._transport.connect(entry.name, entry.link).send(request)

    def on_request(
        self, channel: link.Channel, request: wire.ListAgeRequest
    ) -> None:
        """Replies with the age of the list if the peer has the same list."""
        digest = self._placement.list_digest(request.service)
        if digest == request.digest:
            age_ms = self._placement.list_age_ms(request.service)
            channel.send(wire.ListAge(request.service, digest, age_ms))

    def on_answer(self, channel: link.Channel, answer: wire.ListAge) -> None:
        """Merges the age that a peer reports."""
        del channel
        self._placement.merge_peer_age(
            answer.service, answer.digest, answer.age_ms
        )
