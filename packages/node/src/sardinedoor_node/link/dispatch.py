"""Dispatches received frames by the class of their message."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_schema import frames

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_schema import base

logger = logging.getLogger(__name__)


class Dispatcher:
    """Calls the receiver that is registered for the class of a message."""

    def __init__(self, counters: metrics.Metrics):
        self._metrics = counters
        self._receivers: dict[type[base.Message], link.Receiver] = {}

    def register(
        self, cls: type[base.Message], receiver: link.Receiver
    ) -> None:
        """Registers the receiver of one class of messages."""
        self._receivers[cls] = receiver

    def receive(self, channel: link.Channel, frame: bytes) -> None:
        """Decodes a frame and delivers its message; drops invalid frames."""
        try:
            message = frames.decode(frame)
        except frames.FrameError as e:
            self._metrics.dropped("invalid")
            logger.warning("frame dropped", extra={"reason": str(e)})
            return
        self.deliver(channel, message)

    def deliver(self, channel: link.Channel, message: base.Message) -> None:
        """Calls the receiver of a message.

        Messages without a receiver, and exceptions of receivers, are counted
        as dropped frames.
        """
        receiver = self._receivers.get(type(message))
        if receiver is None:
            self._metrics.dropped("no_receiver")
            return
        try:
            receiver(channel, message)
        except Exception:
            self._metrics.dropped("receiver_failed")
            logger.exception("receiver failed")
