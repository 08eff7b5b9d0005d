"""The part of a node through which all work reaches its own workers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.owner import target
    from sardinedoor_schema.generated import wire


class Client(abc.ABC):
    """Takes requests to one worker."""

    @abc.abstractmethod
    async def run(
        self, request: wire.Request, idempotent: bool, remaining_s: float
    ) -> target.TargetReply:
        """Sends a request at most once and reads the whole answer.

        Args:
            request: What to send.
            idempotent: Whether a kept connection may be used.
            remaining_s: Time left, in s.

        Returns:
            The answer, or a code. A code whose outcome is "not run" says
            that not one byte of the request was sent.
        """

    @abc.abstractmethod
    async def is_listening(self) -> bool:
        """Tells whether the worker accepts a new connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all kept connections."""
