"""The planned stop of a node."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.ingress import server
    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import exchange
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

POLL_S = 0.02
# Peers that were told nothing learn it from a refusal in this time.
NOTICE_S = 0.5


class Drain:
    """Ends a node's work without cutting a request."""

    def __init__(
        self,
        members: table.MemberTable,
        owner: exchange.Owner,
        listeners: server.Server,
        announce: Callable[[], None],
        time: clock.Clock,
    ):
        """Prepares the stop.

        Args:
            members: Holds the node's own record, and what others say of it.
            owner: Refuses new offers once the node is leaving.
            listeners: The callers' connections.
            announce: Tells peers the node's own record at once.
            time: Paces the waiting.
        """
        self._members = members
        self._owner = owner
        self._server = listeners
        self._announce = announce
        self._clock = time

    def on_member(self, entry: table.Entry) -> None:
        """Refuses offers once the platform's list says that we leave."""
        own = entry.name == self._members.own.name
        if own and entry.leaving and not self._owner.leaving:
            logger.info("listed as leaving")
            self._leave("listed as leaving")

    def _leave(self, reason: str) -> None:
        self._owner.leaving = True
        self._members.mark_leaving(self._members.own.name, reason)
        self._announce()

    async def run(self, limit_s: float, idle_s: float) -> None:
        """Drains the node.

        Args:
            limit_s: Longest time in all, in s.
            idle_s: Time that an idle connection gets for a next request,
                in s.
        """
        begun = self._clock.monotonic()
        logger.info("draining")
        self._leave("planned stop")
        await self._server.stop_accepting()
        while self._clock.monotonic() - begun < limit_s:
            self._server.close_idle(idle_s)
            noticed = self._clock.monotonic() - begun >= NOTICE_S
            if noticed and self._finished():
                return
            await self._clock.sleep(POLL_S)
        logger.warning(
            "drain limit reached",
            extra={
                "requests": self._server.request_count,
                "exchanges": self._owner.open_exchanges,
            },
        )

    def _finished(self) -> bool:
        return (
            self._server.connection_count == 0
            and self._server.request_count == 0
            and self._owner.open_exchanges == 0
        )


class ReadinessDrain:
    """Ends a node whose callers move away once it says it isn't ready.

    Until they have noticed, connections are accepted and requests served.
    """

    def __init__(
        self,
        leave: Callable[[], None],
        owner: exchange.Owner,
        listeners: server.Server,
        time: clock.Clock,
    ):
        """Prepares the stop.

        Args:
            leave: Says that the node isn't ready, and tells its peers.
            owner: Refuses new offers once the node is leaving.
            listeners: The callers' connections.
            time: Paces the waiting.
        """
        self._leave = leave
        self._owner = owner
        self._server = listeners
        self._clock = time

    async def run(self, notice_s: float, limit_s: float) -> None:
        """Drains the node.

        Args:
            notice_s: Time in which callers notice, in s.
            limit_s: Longest time in all, in s.
        """
        begun = self._clock.monotonic()
        logger.info("draining")
        self._owner.leaving = True
        self._leave()
        await self._clock.sleep(min(notice_s, limit_s))
        await self._server.stop_accepting()
        while self._clock.monotonic() - begun < limit_s:
            self._server.close_idle(0.0)
            if not (
                self._server.connection_count
                or self._server.request_count
                or self._owner.open_exchanges
            ):
                logger.info("drained")
                return
            await self._clock.sleep(POLL_S)
        logger.warning(
            "drain limit reached",
            extra={
                "requests": self._server.request_count,
                "exchanges": self._owner.open_exchanges,
            },
        )
