"""Links between nodes: channels, and the transport that opens them."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_schema import base


CONTROL_SUFFIX = "/control"
BULK_SUFFIX = "/bulk"


class Channel(abc.ABC):
    """Sends messages to one peer."""

    @abc.abstractmethod
    def send(self, message: base.Message) -> bool:
        """Sends a message without waiting.

        Args:
            message: An instance of a wire class.

        Returns:
            False if the message was not sent. True doesn't guarantee its
            delivery: it may arrive late or never.
        """

    async def ready(self, timeout_s: float) -> bool:
        """Waits until the channel accepts messages.

        Args:
            timeout_s: Longest wait, in s.

        Returns:
            False if it didn't accept any in this time.
        """
        del timeout_s
        return True


class ClosedChannel(Channel):
    """Channel to a peer that no link could be opened to; sends nothing."""

    def send(self, message: base.Message) -> bool:
        """See base class."""
        del message
        return False

    async def ready(self, timeout_s: float) -> bool:
        """See base class."""
        del timeout_s
        return False


Receiver = Callable[[Channel, "base.Message"], None]


@dataclasses.dataclass(slots=True)
class LinkChange:
    """The connection to a peer was lost or restored.

    Attributes:
        channel: Channel to the peer.
        is_open: Whether it accepts messages again. Messages that were on their
            way when it was lost may not have arrived.
    """

    channel: Channel
    is_open: bool


LinkListener = Callable[[str, LinkChange], None]


class Transport(abc.ABC):
    """Opens channels to peers and dispatches the messages of peers."""

    @abc.abstractmethod
    def connect(self, name: str, address: str) -> Channel:
        """Returns the channel to a peer, opening it if needed.

        It is a `ClosedChannel` if no link to this address can be opened.

        Args:
            name: Name of the peer.
            address: IP number and port of the peer's link listener.
        """

    @abc.abstractmethod
    def on_message(self, cls: type[base.Message], receiver: Receiver) -> None:
        """Registers the receiver of one class of messages."""

    def connect_bulk(self, name: str, address: str) -> Channel:
        """Returns the channel to a peer for messages with large bodies.

        It may be separate from the channel of `connect`, so that small
        messages don't queue behind large ones. Its changes are reported under
        the name with `BULK_SUFFIX`.

        Args:
            name: Name of the peer.
            address: IP number and port of the peer's link listener.
        """
        return self.connect(name, address)

    def on_link_change(self, listener: LinkListener) -> None:  # noqa: B027
        """Registers a listener for lost and restored connections.

        Args:
            listener: Called with the name that was given to `connect`.
        """

    def reconnect(self, name: str, address: str) -> None:
        """Replaces the connection to a peer by a new one.

        Args:
            name: Name that was given to `connect`.
            address: IP number and port of the peer's link listener.
        """
        self.disconnect(name)
        self.connect(name, address)

    def connect_control(self, name: str, address: str) -> Channel:
        """Returns the channel to a peer for control messages.

        It is separate from the channel for requests, so that neither kind of
        message queues behind the other. Its users check it with pings.

        Args:
            name: Name of the peer.
            address: IP number and port of the peer's link listener.
        """
        return self.connect(name + CONTROL_SUFFIX, address)

    def disconnect_control(self, name: str) -> None:
        """Closes the channel to a peer for control messages, if one is open.

        Args:
            name: Name of the peer.
        """
        self.disconnect(name + CONTROL_SUFFIX)

    def disconnect(self, name: str) -> None:  # noqa: B027
        """Closes the channel to a peer, if one is open.

        Args:
            name: Name that was given to `connect`.
        """

    def close_idle(self) -> None:  # noqa: B027
        """Closes the channels on which nothing was sent for a long time."""
