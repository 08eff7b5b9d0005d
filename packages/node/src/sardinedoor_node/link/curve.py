"""CURVE keys of the node links, and authentication of peers by key."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import zmq
from zmq.auth import base as zmq_auth
from zmq.utils import z85

from sardinedoor_node.link import asyncsocket

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_schema.generated import settings


@dataclasses.dataclass(slots=True)
class LinkKeys:
    """The node's key pair, and the accepted public keys of peers.

    Attributes:
        secret: Secret key, in Z85.
        public: Public key that belongs to it, in Z85.
        accepted: Accepted public keys, in Z85; the node's own one is first.
    """

    secret: bytes
    public: bytes
    accepted: list[bytes]

    def secure_server(self, socket: zmq.Socket) -> None:
        """Makes a socket a CURVE server with the node's secret key.

        Args:
            socket: A socket that isn't bound yet.
        """
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.secret)

    def secure_client(self, socket: zmq.Socket, server_key: bytes) -> None:
        """Makes a socket a CURVE client with the node's key pair.

        Args:
            socket: A socket that isn't connected yet.
            server_key: Public key that the server must have, in Z85.
        """
        socket.setsockopt(zmq.CURVE_SERVERKEY, server_key)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.secret)


def from_settings(node: settings.NodeSettings) -> LinkKeys | None:
    """Reads the link keys from a node's settings.

    Args:
        node: The node's own settings.

    Returns:
        The keys; None if the links are neither encrypted nor authenticated.

    Raises:
        ValueError: A key is malformed, or accepted keys are set without a
            secret key.
    """
    if not node.link_secret_key:
        if node.link_accepted_keys:
            raise ValueError("missing although link_accepted_keys is set")
        return None
    secret = node.link_secret_key.encode()
    try:
        public = zmq.curve_public(secret)
        accepted = [key.encode() for key in node.link_accepted_keys]
        for key in accepted:
            if len(z85.decode(key)) != 32:
                raise ValueError(key)
    except (ValueError, KeyError, zmq.ZMQError) as e:
        raise ValueError(
            "this key or one of link_accepted_keys isn't 40 characters of Z85"
        ) from e
    others = [key for key in accepted if key != public]
    return LinkKeys(secret, public, [public, *others])


class KeyAuthenticator(zmq_auth.Authenticator):
    """ZAP handler that accepts connections of peers with accepted keys."""

    def __init__(
        self,
        context: zmq.Context,
        keys: LinkKeys,
        counters: metrics.Metrics,
    ):
        """Binds the ZAP socket of a context; `run` serves it.

        Args:
            context: Context of the sockets whose connections are checked.
            keys: The accepted keys.
            counters: Counts refused keys.
        """
        super().__init__(context)
        self._accepted = frozenset(keys.accepted)
        self._metrics = counters
        self.configure_curve_callback("*", self)
        self.start()
        self._async_socket = asyncsocket.AsyncSocket(self.zap_socket)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a key is accepted; called by the base class.

        Args:
            domain: ZAP domain; unused.
            key: Public key of the connecting peer, in Z85.
        """
        del domain
        if key in self._accepted:
            return True
        self._metrics.event("link_key_refused")
        return False

    async def run(self) -> None:
        """Answers ZAP requests until cancelled."""
        while True:
            await self.handle_zap_message(await self._async_socket.receive())

    def close(self) -> None:
        """Closes the ZAP socket."""
        self._async_socket.close()
