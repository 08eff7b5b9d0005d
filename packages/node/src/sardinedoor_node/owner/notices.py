"""Sends notices to the other owners of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.util import tasks

if TYPE_CHECKING:
    from sardinedoor_node import directory
    from sardinedoor_node import link
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

REPEATS = 3
REPEAT_S = 0.05


class Notifier:
    """Sends each notice a few times, as a frame may be lost."""

    def __init__(
        self,
        members: directory.Directory,
        transport: link.Transport,
        time: clock.Clock,
    ):
        self._members = members
        self._transport = transport
        self._clock = time
        self._tasks = tasks.TaskGroup()
        self._newest: dict[bytes, wire.CrashNotice] = {}

    def notify(self, notice: wire.CrashNotice) -> None:
        """Sends a notice at once, and again until there is a newer one.

        Args:
            notice: Its service tells who hears it.
        """
        self._newest[notice.fingerprint] = notice
        self._send(notice)
        self._tasks.spawn(self._repeat(notice), "notice")

    async def _repeat(self, notice: wire.CrashNotice) -> None:
        for _ in range(REPEATS - 1):
            await self._clock.sleep(REPEAT_S)
            if self._newest.get(notice.fingerprint) is not notice:
                return
            self._send(notice)
        del self._newest[notice.fingerprint]

    def _send(self, notice: wire.CrashNotice) -> None:
        nodes = {t.node for t in self._members.targets(notice.service)}
        nodes.discard(self._members.own_name)
        for name in nodes:
            peer = self._members.peer(name)
            if peer is not None:
                channel = self._transport.connect(peer.name, peer.link)
                channel.send(notice)
