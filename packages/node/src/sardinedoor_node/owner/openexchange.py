"""State of one exchange while its offer is open."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    import asyncio

    from sardinedoor_node import link
    from sardinedoor_node.owner import replymemory
    from sardinedoor_node.owner import workers
    from sardinedoor_schema import codes


class Exchange:
    """An offer and the state of its execution.

    Attributes:
        channel: Link on which the reply or refusal is sent.
        offer: The offer.
        deadline: When the offer expires, by the owner's monotonic clock, in s.
        ticket: Ticket that the `Go` named; empty before.
        run_started: Whether the request may have been sent to the worker.
        task: Task that runs the exchange, once it is started.
        worker: The node's own worker that it is for, once it is found.
        reply_memory: Memory of the worker's response, released once it is sent.
    """

    def __init__(
        self, channel: link.Channel, offer: wire.Offer, deadline: float
    ):
        """Opens the exchange; its request has not been sent to the worker.

        Args:
            channel: Link on which the reply or refusal is sent.
            offer: The offer.
            deadline: When the offer expires, by the owner's monotonic clock,
                in s.
        """
        self.channel = channel
        self.offer = offer
        self.deadline = deadline
        self.ticket = b""
        self.run_started = False
        self.task: asyncio.Task | None = None
        self.worker: workers.LocalWorker | None = None
        self.reply_memory: replymemory.ReplyShare | None = None

    @property
    def can_be_cancelled(self) -> bool:
        """Whether its task may be cancelled.

        A run that isn't idempotent ends with its outcome, and an idempotency
        key stays recorded until its request has ended.
        """
        if self.offer.idempotent:
            return True
        return not self.run_started and not self.offer.key

    def refuse(
        self,
        code: codes.Code,
        load: wire.Load | msgspec.UnsetType = msgspec.UNSET,
    ) -> wire.Refusal:
        """Returns a refusal of the offer.

        After a `Go` the refusal carries its ticket, so that the ingress can
        tell it from a refusal that answers a duplicate of the offer.

        Args:
            code: Why the offer is refused.
            load: Load report of the worker, if there is one.
        """
        return wire.Refusal(self.offer.id, code, self.ticket, load)
