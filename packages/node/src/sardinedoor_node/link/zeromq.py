"""Transport over ZeroMQ: one ROUTER bound, one DEALER for each peer."""

from __future__ import annotations

import dataclasses
import logging
import time
from typing import TYPE_CHECKING

import zmq

from sardinedoor_node import link
from sardinedoor_node.link import curve
from sardinedoor_node.link import dispatch
from sardinedoor_node.link import local
from sardinedoor_node.link import port
from sardinedoor_node.util import tasks
from sardinedoor_schema import frames

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_schema import base

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_MS = 300
HEARTBEATS_MISSED = 3
CLOSE_LINGER_MS = 1000
# A link that refuses for this long is tried with another accepted key.
KEY_TRIAL_S = 1.0
_QUEUE_FRAMES = 1000
_KEEPALIVE_S = 30
_RECONNECT_MAX_MS = 1000
_ROUTER_CHANNELS = 4096
# Longer than the longest timeout of a route, so that no reply is lost.
_IDLE_S = 660.0
_ANY_HOSTS = ("0.0.0.0", "[::]")


def _configure(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _QUEUE_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, frames.MAX_FRAME_BYTES)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_S)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)


def _configure_heartbeat(socket: zmq.Socket, interval_ms: int) -> None:
    """Lets the connecting side probe; the other closes when it stops."""
    timeout_ms = HEARTBEATS_MISSED * interval_ms
    socket.setsockopt(zmq.HEARTBEAT_IVL, interval_ms)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
    socket.setsockopt(zmq.HEARTBEAT_TTL, timeout_ms)


class DealerChannel(link.Channel):
    """Sends over a DEALER that is connected to the peer's ROUTER."""

    def __init__(self, dealer: port.Port):
        self.port = dealer
        self._taken = time.monotonic()

    @property
    def refusing_s(self) -> float:
        """Time since the link last took a message or was made, in s."""
        return time.monotonic() - self._taken

    def send(self, message: base.Message) -> bool:
        """See base class."""
        sent = self.port.send([frames.encode(message)])
        if sent:
            self._taken = time.monotonic()
        return sent

    async def ready(self, timeout_s: float) -> bool:
        """See base class."""
        return await self.port.writable(timeout_s)


class RouterChannel(link.Channel):
    """Sends to one peer that has connected to the ROUTER."""

    def __init__(self, router: port.Port, identity: bytes):
        self._port = router
        self._identity = identity

    def send(self, message: base.Message) -> bool:
        """See base class."""
        return self._port.send([self._identity, frames.encode(message)])


@dataclasses.dataclass(slots=True)
class _Peer:
    address: str
    channel: DealerChannel
    task: object
    key_number: int


class ZeromqTransport(link.Transport):
    """Links of one node."""

    def __init__(
        self,
        own_name: str,
        counters: metrics.Metrics,
        keys: curve.LinkKeys | None = None,
        heartbeat_ms: int = HEARTBEAT_INTERVAL_MS,
    ):
        """Prepares the transport; nothing is bound yet.

        Args:
            own_name: Name of the node, to which it has a local channel.
            counters: Where dropped frames and refused keys are counted.
            keys: Keys of the links; None leaves them open.
            heartbeat_ms: Interval between heartbeats, in ms.
        """
        self._heartbeat_ms = heartbeat_ms
        self._keys = keys
        self._metrics = counters
        self._key_check: curve.KeyCheck | None = None
        self._context = zmq.Context()
        self._dispatcher = dispatch.Dispatcher(counters)
        self._local = local.LocalChannel(self._dispatcher)
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._tasks = tasks.TaskGroup()
        self._router: port.Port | None = None
        self._source = ""

    def on_message(
        self, cls: type[base.Message], receiver: link.Receiver
    ) -> None:
        """See base class."""
        self._dispatcher.register(cls, receiver)

    def bind(self, address: str) -> None:
        """Listens for peers; links to them leave by the same IP number.

        Args:
            address: IP number and port.

        Raises:
            zmq.ZMQError: The address can't be bound.
        """
        router = self._context.socket(zmq.ROUTER)
        _configure(router)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._keys is not None:
            self._key_check = curve.KeyCheck(
                self._context, self._keys, self._metrics
            )
            self._tasks.spawn(self._key_check.run(), "link-keys")
            self._keys.secure_server(router)
        router.bind(f"tcp://{address}")
        host = address.rpartition(":")[0]
        if host not in _ANY_HOSTS:
            self._source = f"{host}:0;"
        self._router = port.Port(router)
        self._tasks.spawn(self._serve(self._router), "link-router")

    def connect(self, name: str, address: str) -> link.Channel:
        """See base class."""
        if name == self._own_name:
            return self._local
        return self._connect(name, address, heartbeat=True)

    def connect_control(self, name: str, address: str) -> link.Channel:
        """See base class."""
        return self._connect(
            name + link.CONTROL_SUFFIX, address, heartbeat=False
        )

    def _connect(
        self, name: str, address: str, heartbeat: bool
    ) -> link.Channel:
        peer = self._peers.get(name)
        key_number = 0
        if peer is not None and peer.address == address:
            if not self._has_wrong_key(peer):
                return peer.channel
            key_number = (peer.key_number + 1) % len(self._keys.accepted)
        if peer is not None:
            self.disconnect(name)
        dealer = self._context.socket(zmq.DEALER)
        _configure(dealer)
        if heartbeat:
            _configure_heartbeat(dealer, self._heartbeat_ms)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        if self._keys is not None:
            key = self._keys.accepted[key_number]
            self._keys.secure_client(dealer, key)
        dealer.connect(f"tcp://{self._source}{address}")
        channel = DealerChannel(port.Port(dealer))
        task = self._tasks.spawn(self._receive(channel), f"link-{name}")
        self._peers[name] = _Peer(address, channel, task, key_number)
        return channel

    def _has_wrong_key(self, peer: _Peer) -> bool:
        """Guesses, from its silence, that a peer uses another key."""
        if self._keys is None or len(self._keys.accepted) < 2:
            return False
        return peer.channel.refusing_s > KEY_TRIAL_S and not (
            peer.channel.port.is_writable()
        )

    def disconnect(self, name: str) -> None:
        """See base class."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.task.cancel()
            peer.channel.port.close()

    def close_idle(self) -> None:
        """See base class."""
        for name, peer in list(self._peers.items()):
            if peer.channel.refusing_s > _IDLE_S:
                self.disconnect(name)

    async def _serve(self, router: port.Port) -> None:
        channels: dict[bytes, RouterChannel] = {}
        while True:
            parts = await router.receive()
            if len(parts) != 2:
                continue
            identity, frame = parts
            channel = channels.get(identity)
            if channel is None:
                if len(channels) >= _ROUTER_CHANNELS:
                    channels.clear()
                channel = RouterChannel(router, identity)
                channels[identity] = channel
            self._dispatcher.receive(channel, frame)

    async def _receive(self, channel: DealerChannel) -> None:
        while True:
            parts = await channel.port.receive()
            self._dispatcher.receive(channel, parts[-1])

    async def close(self, linger_ms: int = CLOSE_LINGER_MS) -> None:
        """Closes all links once what was sent has left, or a time is up.

        Args:
            linger_ms: That time, in ms.
        """
        await self._tasks.cancel()
        for peer in self._peers.values():
            peer.channel.port.close(linger_ms)
        self._peers.clear()
        if self._router is not None:
            self._router.close(linger_ms)
        if self._key_check is not None:
            self._key_check.close()
        self._context.term()
