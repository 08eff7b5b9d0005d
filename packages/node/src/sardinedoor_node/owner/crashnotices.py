"""Delivery of crash notices to the other owners of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node.util import tasks

if TYPE_CHECKING:
    from sardinedoor_node import directory
    from sardinedoor_node import link
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import wire

SEND_COUNT = 3
SEND_INTERVAL_S = 0.05


class CrashNotifier:
    """Sends each notice several times, because frames may be lost."""

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
        self._latest: dict[bytes, wire.CrashNotice] = {}

    def notify(self, notice: wire.CrashNotice) -> None:
        """Sends a notice at once and then at intervals.

        A newer notice about the same request replaces it.

        Args:
            notice: The notice; its service determines the recipients.
        """
        self._latest[notice.fingerprint] = notice
        self._send(notice)
        self._tasks.spawn(self._resend(notice), "notice")

    async def _resend(self, notice: wire.CrashNotice) -> None:
        for _ in range(SEND_COUNT - 1):
            await self._clock.sleep(SEND_INTERVAL_S)
            if self._latest.get(notice.fingerprint) is not notice:
                return
            self._send(notice)
        del self._latest[notice.fingerprint]

    def _send(self, notice: wire.CrashNotice) -> None:
        nodes = {t.node for t in self._members.targets(notice.service)}
        nodes.discard(self._members.own_name)
        for name in nodes:
            peer = self._members.peer(name)
            if peer is not None:
                channel = self._transport.connect(peer.name, peer.link)
                channel.send(notice)
