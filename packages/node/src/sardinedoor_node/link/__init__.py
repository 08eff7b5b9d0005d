"""Messages between nodes."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_schema import base


CONTROL_SUFFIX = "/control"


class Channel(abc.ABC):
    """One way to send messages to one peer."""

    @abc.abstractmethod
    def send(self, message: base.Message) -> bool:
        """Sends a message, or refuses at once.

        Args:
            message: An instance of a wire class.

        Returns:
            False if it was certainly not sent. True promises nothing: the
            message may arrive late, or never.
        """

    async def ready(self, timeout_s: float) -> bool:
        """Waits until the channel takes messages.

        Args:
            timeout_s: Longest wait, in s.

        Returns:
            False if it takes none yet.
        """
        del timeout_s
        return True


Receiver = Callable[[Channel, "base.Message"], None]


class Transport(abc.ABC):
    """Opens channels to peers and hands on what peers send."""

    @abc.abstractmethod
    def connect(self, name: str, address: str) -> Channel:
        """Returns the channel to a peer, opened if there is none.

        Args:
            name: Name of the peer.
            address: IP number and port of the peer's link listener.
        """

    @abc.abstractmethod
    def on_message(self, cls: type[base.Message], receiver: Receiver) -> None:
        """Registers the receiver of one class of messages."""

    def connect_control(self, name: str, address: str) -> Channel:
        """Returns a channel to a peer for control messages only.

        It is apart from the one for requests, so that neither waits for the
        other, and its users probe it themselves.

        Args:
            name: Name of the peer.
            address: IP number and port of the peer's link listener.
        """
        return self.connect(name + CONTROL_SUFFIX, address)

    def disconnect_control(self, name: str) -> None:
        """Closes the channel for control messages, if one is open."""
        self.disconnect(name + CONTROL_SUFFIX)

    def disconnect(self, name: str) -> None:  # noqa: B027
        """Closes the channel to a peer, if one is open.

        Args:
            name: Name under which it was opened.
        """

    def close_idle(self) -> None:  # noqa: B027
        """Closes channels on which nothing was sent for long."""
