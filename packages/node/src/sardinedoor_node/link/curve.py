"""Keys of the node links, and who may open one."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import zmq
from zmq.auth import base as zmq_auth
from zmq.utils import z85

from sardinedoor_node.link import port

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_schema.generated import settings


@dataclasses.dataclass(slots=True)
class LinkKeys:
    """The node's key pair, and the public keys that peers may have.

    Attributes:
        secret: Secret key, Z85.
        public: Its public key, Z85.
        accepted: Public keys of peers, Z85, the own one first.
    """

    secret: bytes
    public: bytes
    accepted: list[bytes]

    def secure_server(self, socket: zmq.Socket) -> None:
        """Makes a socket answer only peers that know its key."""
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.secret)

    def secure_client(self, socket: zmq.Socket, server_key: bytes) -> None:
        """Makes a socket connect only to a peer with the key given."""
        socket.setsockopt(zmq.CURVE_SERVERKEY, server_key)
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.public)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.secret)


def from_settings(node: settings.NodeSettings) -> LinkKeys | None:
    """Reads the keys of a node's links.

    Args:
        node: The node's own settings.

    Returns:
        The keys; None where the links are to be open.

    Raises:
        ValueError: A key is malformed, or there are accepted keys only.
    """
    if not node.link_secret_key:
        if node.link_accepted_keys:
            raise ValueError("is missing, while keys are accepted")
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
            "not 40 characters of Z85, or an accepted key isn't"
        ) from e
    others = [key for key in accepted if key != public]
    return LinkKeys(secret, public, [public, *others])


class KeyCheck(zmq_auth.Authenticator):
    """Answers for each new connection whether its key is accepted."""

    def __init__(
        self,
        context: zmq.Context,
        keys: LinkKeys,
        counters: metrics.Metrics,
    ):
        """Binds the check to a context; `run` answers.

        Args:
            context: The context whose sockets ask.
            keys: The accepted keys.
            counters: Counts refusals.
        """
        super().__init__(context)
        self._accepted = frozenset(keys.accepted)
        self._metrics = counters
        self.configure_curve_callback("*", self)
        self.start()
        self._port = port.Port(self.zap_socket)

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells whether a key is accepted."""
        del domain
        if key in self._accepted:
            return True
        self._metrics.event("link_key_refused")
        return False

    async def run(self) -> None:
        """Answers until cancelled."""
        while True:
            await self.handle_zap_message(await self._port.receive())

    def close(self) -> None:
        """Ends the check."""
        self._port.close()
