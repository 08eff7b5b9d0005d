"""Transport over ZeroMQ: one ROUTER socket, and one DEALER for each peer."""

from __future__ import annotations

import dataclasses
import functools
import logging
import time
from typing import TYPE_CHECKING

import zmq

from sardinedoor_node import link
from sardinedoor_node.link import asyncsocket
from sardinedoor_node.link import curve
from sardinedoor_node.link import dispatch
from sardinedoor_node.link import local
from sardinedoor_node.util import listeners
from sardinedoor_node.util import tasks
from sardinedoor_schema import frames

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import metrics
    from sardinedoor_schema import base

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_MS = 300
MAX_MISSED_HEARTBEATS = 3
CLOSE_LINGER_MS = 1000
# If a link could send nothing for this long, the next accepted key is tried.
KEY_TRIAL_TIMEOUT_S = 1.0
_MAX_QUEUED_FRAMES = 1000
_TCP_KEEPALIVE_IDLE_S = 30
_MAX_RECONNECT_INTERVAL_MS = 1000
_MAX_ROUTER_CHANNELS = 4096
# Longer than the longest timeout of a route (600 s), so that a link isn't
# closed before its last reply.
_IDLE_TIMEOUT_S = 660.0
_WILDCARD_HOSTS = ("0.0.0.0", "[::]")


def _configure(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, frames.MAX_FRAME_BYTES)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _TCP_KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)


def _configure_heartbeat(socket: zmq.Socket, interval_ms: int) -> None:
    """Sends heartbeats; either side closes the connection if they stop."""
    timeout_ms = MAX_MISSED_HEARTBEATS * interval_ms
    socket.setsockopt(zmq.HEARTBEAT_IVL, interval_ms)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
    socket.setsockopt(zmq.HEARTBEAT_TTL, timeout_ms)


class DealerChannel(link.Channel):
    """Sends over a DEALER socket that is connected to the peer's ROUTER."""

    def __init__(
        self, dealer: zmq.Socket, on_change: Callable[[link.LinkChange], None]
    ):
        self.socket = asyncsocket.AsyncSocket(
            dealer, lambda is_open: on_change(link.LinkChange(self, is_open))
        )
        self._last_sent_at = time.monotonic()

    @property
    def since_last_send_s(self) -> float:
        """Time since a message was last sent or the channel opened, in s."""
        return time.monotonic() - self._last_sent_at

    def send(self, message: base.Message) -> bool:
        """See base class."""
        sent = self.socket.send([frames.encode(message)])
        if sent:
            self._last_sent_at = time.monotonic()
        return sent

    async def ready(self, timeout_s: float) -> bool:
        """See base class."""
        return await self.socket.wait_writable(timeout_s)


class RouterChannel(link.Channel):
    """Sends to a peer that is connected to this node's ROUTER socket."""

    def __init__(self, router: asyncsocket.AsyncSocket, identity: bytes):
        self._router = router
        self._identity = identity

    def send(self, message: base.Message) -> bool:
        """See base class."""
        return self._router.send([self._identity, frames.encode(message)])


@dataclasses.dataclass(slots=True)
class _Peer:
    address: str
    channel: DealerChannel
    task: object
    key_number: int


class ZeromqTransport(link.Transport):
    """Opens and accepts the links of one node."""

    def __init__(
        self,
        own_name: str,
        counters: metrics.Metrics,
        keys: curve.LinkKeys | None = None,
        heartbeat_ms: int = HEARTBEAT_INTERVAL_MS,
    ):
        """Creates a transport; `bind` makes it accept links.

        Args:
            own_name: Name of the node, to which it has a local channel.
            counters: Counts dropped frames and refused keys.
            keys: Keys of the links; None for links without encryption.
            heartbeat_ms: Interval between heartbeats, in ms.
        """
        self._heartbeat_ms = heartbeat_ms
        self._keys = keys
        self._metrics = counters
        self._authenticator: curve.KeyAuthenticator | None = None
        self._context = zmq.Context()
        self._dispatcher = dispatch.Dispatcher(counters)
        self._local = local.LocalChannel(self._dispatcher)
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._tasks = tasks.TaskGroup(counters)
        self._router: asyncsocket.AsyncSocket | None = None
        self._source_prefix = ""
        self._link_listeners = listeners.ListenerGroup("link changed", counters)

    def on_link_change(self, listener: link.LinkListener) -> None:
        """See base class."""
        self._link_listeners.add(listener)

    def _on_link_change(self, name: str, change: link.LinkChange) -> None:
        peer = self._peers.get(name)
        if peer is None or peer.channel is not change.channel:
            return
        self._link_listeners.notify(name, change)

    def on_message(
        self, cls: type[base.Message], receiver: link.Receiver
    ) -> None:
        """See base class."""
        self._dispatcher.register(cls, receiver)

    def bind(self, address: str) -> None:
        """Listens for peers.

        Unless the address is a wildcard, links to peers also use its IP
        number as their source address.

        Args:
            address: IP number and port of the listener.

        Raises:
            zmq.ZMQError: The address can't be bound.
        """
        router = self._context.socket(zmq.ROUTER)
        _configure(router)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._keys is not None:
            self._authenticator = curve.KeyAuthenticator(
                self._context, self._keys, self._metrics
            )
            self._tasks.supervise(self._authenticator.run, "link-keys")
            self._keys.secure_server(router)
        router.bind(f"tcp://{address}")
        host = address.rpartition(":")[0]
        if host not in _WILDCARD_HOSTS:
            self._source_prefix = f"{host}:0;"
        self._router = asyncsocket.AsyncSocket(router)
        serve = functools.partial(self._serve, self._router)
        self._tasks.supervise(serve, "link-router")

    def connect(self, name: str, address: str) -> link.Channel:
        """See base class."""
        if name == self._own_name:
            return self._local
        return self._open(name, address, heartbeat=True)

    def connect_bulk(self, name: str, address: str) -> link.Channel:
        """See base class."""
        if name == self._own_name:
            return self._local
        return self._open(name + link.BULK_SUFFIX, address, heartbeat=True)

    def reconnect(self, name: str, address: str) -> None:
        """See base class; nothing happens if there is no connection."""
        if name in self._peers:
            self.disconnect(name)
            self._open(name, address, heartbeat=True)

    def connect_control(self, name: str, address: str) -> link.Channel:
        """See base class."""
        return self._open(name + link.CONTROL_SUFFIX, address, heartbeat=False)

    def _open(self, name: str, address: str, heartbeat: bool) -> link.Channel:
        peer = self._peers.get(name)
        key_number = 0
        if peer is not None and peer.address == address:
            if not self._should_try_next_key(peer):
                return peer.channel
            key_number = (peer.key_number + 1) % len(self._keys.accepted)
        if peer is not None:
            self.disconnect(name)
        try:
            dealer = self._make_dealer(address, key_number, heartbeat)
        except zmq.ZMQError as e:
            self._metrics.event("link_not_opened")
            logger.warning(
                "link not opened", extra={"peer": name, "reason": str(e)}
            )
            return link.ClosedChannel()
        channel = DealerChannel(
            dealer, functools.partial(self._on_link_change, name)
        )
        receive = functools.partial(self._receive, channel)
        task = self._tasks.supervise(receive, "link-receiver")
        self._peers[name] = _Peer(address, channel, task, key_number)
        return channel

    def _make_dealer(
        self, address: str, key_number: int, heartbeat: bool
    ) -> zmq.Socket:
        """Opens a socket that connects to a peer.

        Raises:
            zmq.ZMQError: ZeroMQ can't parse the address, or has too many
                sockets.
        """
        dealer = self._context.socket(zmq.DEALER)
        try:
            _configure(dealer)
            if heartbeat:
                _configure_heartbeat(dealer, self._heartbeat_ms)
            dealer.setsockopt(zmq.IMMEDIATE, 1)
            if self._keys is not None:
                key = self._keys.accepted[key_number]
                self._keys.secure_client(dealer, key)
            dealer.connect(f"tcp://{self._source_prefix}{address}")
        except zmq.ZMQError:
            dealer.close()
            raise
        return dealer

    def _should_try_next_key(self, peer: _Peer) -> bool:
        """Returns whether a link probably fails because of the peer's key.

        A failed CURVE handshake shows only as a socket that can't send.
        """
        if self._keys is None or len(self._keys.accepted) < 2:
            return False
        return peer.channel.since_last_send_s > KEY_TRIAL_TIMEOUT_S and not (
            peer.channel.socket.is_writable()
        )

    def disconnect(self, name: str) -> None:
        """See base class."""
        peer = self._peers.get(name)
        if peer is not None:
            self._on_link_change(name, link.LinkChange(peer.channel, False))
            del self._peers[name]
            peer.task.cancel()
            peer.channel.socket.close()

    def close_idle(self) -> None:
        """See base class."""
        for name, peer in list(self._peers.items()):
            if peer.channel.since_last_send_s > _IDLE_TIMEOUT_S:
                self.disconnect(name)

    async def _serve(self, router: asyncsocket.AsyncSocket) -> None:
        channels: dict[bytes, RouterChannel] = {}
        while True:
            parts = await router.receive()
            if len(parts) != 2:
                continue
            identity, frame = parts
            channel = channels.get(identity)
            if channel is None:
                if len(channels) >= _MAX_ROUTER_CHANNELS:
                    channels.clear()
                channel = RouterChannel(router, identity)
                channels[identity] = channel
            self._dispatcher.receive(channel, frame)

    async def _receive(self, channel: DealerChannel) -> None:
        while True:
            parts = await channel.socket.receive()
            self._dispatcher.receive(channel, parts[-1])

    async def close(self, linger_ms: int = CLOSE_LINGER_MS) -> None:
        """Closes all links.

        Args:
            linger_ms: Longest time to transmit queued messages, in ms.
        """
        await self._tasks.cancel()
        for peer in self._peers.values():
            peer.channel.socket.close(linger_ms)
        self._peers.clear()
        if self._router is not None:
            self._router.close(linger_ms)
        if self._authenticator is not None:
            self._authenticator.close()
        self._context.term()
