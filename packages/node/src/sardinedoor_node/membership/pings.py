"""Direct and indirect pings, and their acks and nacks."""

from __future__ import annotations

import asyncio
import enum
import itertools
import secrets
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import link
    from sardinedoor_node.membership import antientropy
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

ACK_TIMEOUT_S = 0.4
_SEND_RETRY_S = 0.02
_ID_BYTES = 8


class Answer(enum.Enum):
    """Combined result of the indirect pings of one member."""

    ACK = "ack"
    NACK = "nack"
    NONE = "none"


class Pinger:
    """Sends pings, and answers the pings and ping requests of peers.

    Pings and acks piggyback the digests of members and settings, and the age
    of the last read of the platform by any node.
    """

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        anti_entropy: antientropy.AntiEntropy,
        settings_digest: Callable[[], bytes],
        time: clock.Clock,
        group: tasks.TaskGroup,
    ):
        """Creates a pinger that sends nothing by itself.

        Args:
            members: The member table.
            transport: Opens links.
            anti_entropy: Compares the digests of peers with the own ones.
            settings_digest: Returns the digest of the node's settings.
            time: Clock.
            group: Runs pings on behalf of peers.
        """
        self._members = members
        self._transport = transport
        self._anti_entropy = anti_entropy
        self._settings_digest = settings_digest
        self._clock = time
        self._tasks = group
        self._waiting: dict[bytes, asyncio.Future[bool]] = {}
        self._pinged_names: dict[bytes, str] = {}
        self._link_numbers = itertools.count()
        self._platform_read_at: float | None = None

    @property
    def platform_age_s(self) -> float | None:
        """Time since any node is known to have read the platform, in s."""
        if self._platform_read_at is None:
            return None
        return self._clock.monotonic() - self._platform_read_at

    def record_platform_read(self, age_s: float = 0.0) -> None:
        """Records a successful read of the platform by any node.

        Args:
            age_s: Time since the read, in s.
        """
        read_at = self._clock.monotonic() - age_s
        if self._platform_read_at is None or read_at > self._platform_read_at:
            self._platform_read_at = read_at

    def _platform_age_fields(self) -> dict[str, int]:
        age_s = self.platform_age_s
        return {} if age_s is None else {"platform_age_s": int(age_s) + 1}

    async def ping(self, name: str, channel: link.Channel) -> bool:
        """Pings a member directly.

        Args:
            name: Name of the member.
            channel: Channel to it.

        Returns:
            False if no ack arrived in time, or a nack did.
        """
        ping = wire.Ping(
            secrets.token_bytes(_ID_BYTES),
            self._members.own.name,
            name,
            self._members.digest,
            self._settings_digest(),
            **self._platform_age_fields(),
        )
        self._pinged_names[ping.id] = name
        try:
            return bool(await self._request(channel, ping, ACK_TIMEOUT_S))
        finally:
            self._pinged_names.pop(ping.id, None)

    async def ping_over_new_link(
        self, name: str, address: str
    ) -> link.Channel | None:
        """Pings a member directly, over a link opened for this ping.

        Args:
            name: Name of the member.
            address: IP number and port of its link listener.

        Returns:
            The channel if the member acked; it is closed shortly after.
        """
        key = f"{name}/ping-{next(self._link_numbers)}"
        channel = self._transport.connect(key, address)
        if await self.ping(name, channel):
            self._tasks.spawn(self._close_later(key), "close-link")
            return channel
        self._transport.disconnect(key)
        return None

    async def _close_later(self, key: str) -> None:
        try:
            await self._clock.sleep(2 * ACK_TIMEOUT_S)
        finally:
            self._transport.disconnect(key)

    async def ping_indirectly(
        self, name: str, address: str, helpers: list[link.Channel]
    ) -> Answer:
        """Asks helpers to ping a member that didn't ack a direct ping.

        Args:
            name: Name of the member.
            address: IP number and port of its link listener.
            helpers: Channels to the members that are asked.

        Returns:
            ACK if any helper got an ack, NACK if a helper answered but none
            got an ack, NONE if no helper answered.
        """
        requests = [
            wire.PingRequest(secrets.token_bytes(_ID_BYTES), name, address)
            for _ in helpers
        ]
        answers = await asyncio.gather(
            *(
                self._request(channel, request, 2 * ACK_TIMEOUT_S)
                for channel, request in zip(helpers, requests, strict=True)
            )
        )
        if True in answers:
            return Answer.ACK
        return Answer.NACK if False in answers else Answer.NONE

    async def _request(
        self,
        channel: link.Channel,
        message: wire.Ping | wire.PingRequest,
        timeout_s: float,
    ) -> bool | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[message.id] = future
        try:
            async with asyncio.timeout(timeout_s):
                while not channel.send(message):
                    await self._clock.sleep(_SEND_RETRY_S)
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(message.id, None)

    def on_ping(self, channel: link.Channel, ping: wire.Ping) -> None:
        """Acks a ping to this node; nacks one to another name.

        The sender may still know this address under the name of an instance
        that used it before.
        """
        if ping.target != self._members.own.name:
            channel.send(wire.Nack(ping.id))
            return
        ack = wire.Ack(
            ping.id,
            self._members.digest,
            self._settings_digest(),
            **self._platform_age_fields(),
        )
        channel.send(ack)
        self._process_piggyback(ping.sender, channel, ping)

    def on_ack(self, channel: link.Channel, ack: wire.Ack) -> None:
        """Resolves the direct or indirect ping that an ack answers."""
        self._resolve(ack.id, True)
        name = self._pinged_names.get(ack.id)
        if name is not None:
            self._process_piggyback(name, channel, ack)

    def on_nack(self, channel: link.Channel, nack: wire.Nack) -> None:
        """Resolves the direct or indirect ping that a nack answers."""
        del channel
        self._resolve(nack.id, False)

    def _resolve(self, request_id: bytes, acked: bool) -> None:
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(acked)

    def _process_piggyback(
        self, name: str, channel: link.Channel, message: wire.Ping | wire.Ack
    ) -> None:
        self.record_platform_read(message.platform_age_s)
        same = (
            message.members == self._members.digest
            and message.settings == self._settings_digest()
        )
        entry = self._members.entries.get(name)
        known = entry is not None and entry.alive
        self._anti_entropy.compare(name, channel, same, known)

    def on_request(
        self, channel: link.Channel, request: wire.PingRequest
    ) -> None:
        """Pings a member on behalf of a peer, in a task of its own."""
        self._tasks.spawn(self._ping_for_peer(channel, request), "help")

    async def _ping_for_peer(
        self, channel: link.Channel, request: wire.PingRequest
    ) -> None:
        if (
            await self.ping_over_new_link(request.name, request.link)
            is not None
        ):
            channel.send(wire.Ack(request.id))
        else:
            channel.send(wire.Nack(request.id))
