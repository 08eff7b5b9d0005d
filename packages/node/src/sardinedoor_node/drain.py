"""Draining of a node for its graceful shutdown."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.ingress import departure
    from sardinedoor_node.ingress import server
    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import exchange
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02
# Shortest drain. Peers that missed the announcement still send offers and learn
# from the refusals that the node is leaving.
NOTICE_PERIOD_S = 0.5


class Drain:
    """Drains a node that announces by gossip that it is leaving.

    Requests in progress are finished; new offers are refused.
    """

    def __init__(
        self,
        members: table.MemberTable,
        owner: exchange.Owner,
        ingress_server: server.Server,
        flush_gossip: Callable[[], None],
        own_departure: departure.Departure,
        time: clock.Clock,
    ):
        """Stores the collaborators.

        Args:
            members: The member table with the node's own record.
            owner: Refuses new offers once the node is leaving.
            ingress_server: Server of the callers' connections.
            flush_gossip: Sends pending gossip to peers at once.
            own_departure: Ends the waits of callers' requests in time.
            time: The clock.
        """
        self._members = members
        self._owner = owner
        self._server = ingress_server
        self._flush_gossip = flush_gossip
        self._departure = own_departure
        self._clock = time

    def on_member_change(self, entry: table.Entry) -> None:
        """Stops accepting offers if this node was listed as leaving.

        Args:
            entry: The changed entry of the member table.
        """
        is_own = entry.name == self._members.own.name
        if is_own and entry.leaving and not self._owner.leaving:
            logger.info("listed as leaving")
            self._announce_leaving("listed as leaving")

    def _announce_leaving(self, reason: str) -> None:
        self._owner.leave()
        self._members.mark_leaving(self._members.own.name, reason)
        self._flush_gossip()

    async def run(self, limit_s: float, idle_s: float) -> None:
        """Drains the node until its work is finished or the limit is reached.

        Args:
            limit_s: Longest duration of the drain, in s.
            idle_s: Time without a request after which an idle connection is
                closed, in s.
        """
        started_at = self._clock.monotonic()
        logger.info("draining")
        self._announce_leaving("planned stop")
        self._departure.begin(0.0, limit_s)
        await self._server.stop_accepting()
        while self._clock.monotonic() - started_at < limit_s:
            self._server.close_idle(idle_s)
            notice_is_over = (
                self._clock.monotonic() - started_at >= NOTICE_PERIOD_S
            )
            if notice_is_over and self._is_finished():
                return
            await self._clock.sleep(POLL_INTERVAL_S)
        logger.warning(
            "drain limit reached",
            extra={
                "requests": self._server.request_count,
                "exchanges": self._owner.open_exchanges,
            },
        )

    def _is_finished(self) -> bool:
        return (
            self._server.connection_count == 0
            and self._server.request_count == 0
            and self._owner.open_exchanges == 0
        )


class ReadinessDrain:
    """Drains a node whose callers poll its readiness page.

    Until the callers have seen that the node isn't ready, it still accepts
    connections and serves requests.
    """

    def __init__(
        self,
        announce_leaving: Callable[[], None],
        owner: exchange.Owner,
        ingress_server: server.Server,
        own_departure: departure.Departure,
        time: clock.Clock,
    ):
        """Stores the collaborators.

        Args:
            announce_leaving: Makes the node unready and announces to its peers
                that it is leaving.
            owner: Refuses new offers once the node is leaving.
            ingress_server: Server of the callers' connections.
            own_departure: Ends the waits of callers' requests in time.
            time: The clock.
        """
        self._announce_leaving = announce_leaving
        self._departure = own_departure
        self._owner = owner
        self._server = ingress_server
        self._clock = time

    async def run(self, notice_s: float, limit_s: float) -> None:
        """Drains the node until its work is finished or the limit is reached.

        Args:
            notice_s: Time that callers need to see that the node isn't ready,
                in s.
            limit_s: Longest duration of the drain, in s.
        """
        started_at = self._clock.monotonic()
        logger.info("draining")
        self._owner.leave()
        self._announce_leaving()
        self._departure.begin(notice_s, limit_s)
        await self._clock.sleep(min(notice_s, limit_s))
        await self._server.stop_accepting()
        while self._clock.monotonic() - started_at < limit_s:
            self._server.close_idle(0.0)
            if not (
                self._server.connection_count
                or self._server.request_count
                or self._owner.open_exchanges
            ):
                logger.info("drained")
                return
            await self._clock.sleep(POLL_INTERVAL_S)
        logger.warning(
            "drain limit reached",
            extra={
                "requests": self._server.request_count,
                "exchanges": self._owner.open_exchanges,
            },
        )
