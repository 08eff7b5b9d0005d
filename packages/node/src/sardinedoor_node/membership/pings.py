"""Pings, their answers, and pings on behalf of others."""

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
    from sardinedoor_node.membership import sync
    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

ACK_S = 0.4
_RESEND_S = 0.02
_ID_BYTES = 8


class Answer(enum.Enum):
    """What helpers found."""

    ACK = "ack"
    NACK = "nack"
    NONE = "none"


class Pinger:
    """Sends pings and waits for what comes back."""

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        exchange: sync.Sync,
        settings_digest: Callable[[], bytes],
        time: clock.Clock,
        group: tasks.TaskGroup,
    ):
        """Prepares; nothing is sent yet.

        Args:
            members: The table.
            transport: Opens links.
            exchange: Told of peers whose digests differ.
            settings_digest: Digest of the settings held here.
            time: Clock.
            group: Runs pings on behalf of others.
        """
        self._members = members
        self._transport = transport
        self._sync = exchange
        self._settings_digest = settings_digest
        self._clock = time
        self._tasks = group
        self._waiting: dict[bytes, asyncio.Future[bool]] = {}
        self._peers: dict[bytes, str] = {}
        self._numbers = itertools.count()
        self._platform_seen: float | None = None

    @property
    def platform_age_s(self) -> float | None:
        """Time since any node is known to have read the platform, in s."""
        if self._platform_seen is None:
            return None
        return self._clock.monotonic() - self._platform_seen

    def platform_seen(self, age_s: float = 0.0) -> None:
        """Notes that the platform was read some time ago."""
        seen = self._clock.monotonic() - age_s
        if self._platform_seen is None or seen > self._platform_seen:
            self._platform_seen = seen

    def _age_fields(self) -> dict[str, int]:
        age_s = self.platform_age_s
        return {} if age_s is None else {"platform_age_s": int(age_s) + 1}

    async def ping(self, name: str, channel: link.Channel) -> bool:
        """Pings over a channel; False if no answer came in time."""
        ping = wire.Ping(
            secrets.token_bytes(_ID_BYTES),
            self._members.own.name,
            name,
            self._members.digest,
            self._settings_digest(),
            **self._age_fields(),
        )
        self._peers[ping.id] = name
        try:
            return bool(await self._ask(channel, ping, ACK_S))
        finally:
            self._peers.pop(ping.id, None)

    async def ping_once(self, name: str, address: str) -> link.Channel | None:
        """Pings over a fresh link.

        Args:
            name: Name of the member.
            address: Its link address.

        Returns:
            The channel if it answered, to be closed by `close_once`.
        """
        key = f"{name}/ping-{next(self._numbers)}"
        channel = self._transport.connect(key, address)
        if await self.ping(name, channel):
            self._tasks.spawn(self._close_later(key), "close-link")
            return channel
        self._transport.disconnect(key)
        return None

    async def _close_later(self, key: str) -> None:
        try:
            await self._clock.sleep(2 * ACK_S)
        finally:
            self._transport.disconnect(key)

    async def ask_helpers(
        self, name: str, address: str, helpers: list[link.Channel]
    ) -> Answer:
        """Asks other members to ping one that didn't answer here.

        Args:
            name: Name of the member.
            address: Its link address.
            helpers: Channels to the members to ask.

        Returns:
            ACK if any helper got an answer, NACK if a helper answered but
            none got one, NONE if no helper was heard from either.
        """
        requests = [
            wire.PingRequest(secrets.token_bytes(_ID_BYTES), name, address)
            for _ in helpers
        ]
        answers = await asyncio.gather(
            *(
                self._ask(channel, request, 2 * ACK_S)
                for channel, request in zip(helpers, requests, strict=True)
            )
        )
        if True in answers:
            return Answer.ACK
        return Answer.NACK if False in answers else Answer.NONE

    async def _ask(
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
                    await self._clock.sleep(_RESEND_S)
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(message.id, None)

    def on_ping(self, channel: link.Channel, ping: wire.Ping) -> None:
        """Answers a ping, unless it is for an instance that was here before."""
        if ping.target != self._members.own.name:
            channel.send(wire.Nack(ping.id))
            return
        ack = wire.Ack(
            ping.id,
            self._members.digest,
            self._settings_digest(),
            **self._age_fields(),
        )
        channel.send(ack)
        self._learn(ping.sender, channel, ping)

    def on_ack(self, channel: link.Channel, ack: wire.Ack) -> None:
        """Hands an answer to the ping that waits for it."""
        self._resolve(ack.id, True)
        name = self._peers.get(ack.id)
        if name is not None:
            self._learn(name, channel, ack)

    def on_nack(self, channel: link.Channel, nack: wire.Nack) -> None:
        """Notes that a helper got no answer."""
        del channel
        self._resolve(nack.id, False)

    def _resolve(self, number: bytes, answered: bool) -> None:
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_result(answered)

    def _learn(
        self, name: str, channel: link.Channel, message: wire.Ping | wire.Ack
    ) -> None:
        self.platform_seen(message.platform_age_s)
        same = (
            message.members == self._members.digest
            and message.settings == self._settings_digest()
        )
        entry = self._members.entries.get(name)
        known = entry is not None and entry.alive
        self._sync.compare(name, channel, same, known)

    def on_request(
        self, channel: link.Channel, request: wire.PingRequest
    ) -> None:
        """Pings a member on behalf of a peer."""
        self._tasks.spawn(self._help(channel, request), "help")

    async def _help(
        self, channel: link.Channel, request: wire.PingRequest
    ) -> None:
        if await self.ping_once(request.name, request.link) is not None:
            channel.send(wire.Ack(request.id))
        else:
            channel.send(wire.Nack(request.id))
