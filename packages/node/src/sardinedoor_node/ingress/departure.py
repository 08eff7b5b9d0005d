"""Refusal of the requests that a node can't finish before it is stopped.

It answers a planned stop under load: requests of this node's callers wait for slots
longer than the node still runs. Those that no worker has got are refused as not run
while there is time for the answer, so that no caller is left without one.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sardinedoor_node.ingress import attempt
    from sardinedoor_node.util import clock

# Time for the refusal to reach the caller before the connections are closed.
_ANSWER_TIME_S = 0.3
# Few runs take longer than this multiple of the mean. The outcome of a run that
# the node doesn't wait for is unknown to its caller.
_LONG_RUN_FACTOR = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _OpenRequest:
    """A request that is being forwarded, and the time limit of its task."""

    job: attempt.Job
    timeout: asyncio.Timeout


class Departure:
    """The end of this node, once it is being stopped.

    Attributes:
        ends_at: When the node closes its connections, monotonic, in s;
            infinite while it isn't being stopped.
        unused_at: When its callers have stopped using it, monotonic, in s.
    """

    def __init__(self, time: clock.Clock):
        """Starts with a node that isn't being stopped.

        Args:
            time: Source of the monotonic time.
        """
        self._clock = time
        self._open: set[_OpenRequest] = set()
        self.ends_at = math.inf
        self.unused_at = -math.inf

    def begin(self, notice_s: float, limit_s: float) -> None:
        """Records that the node is being stopped.

        Args:
            notice_s: Time until callers have stopped using it, in s.
            limit_s: Time until it closes its connections, in s.
        """
        now = self._clock.monotonic()
        self.unused_at = now + notice_s
        self.ends_at = now + limit_s
        for request in self._open:
            self._schedule_withdrawal(request)

    def latest_start(self, job: attempt.Job) -> float:
        """Returns until when a worker may start to run a request.

        Args:
            job: The request.

        Returns:
            Monotonic time, in s; infinite if the node isn't being stopped.
        """
        run_s = _LONG_RUN_FACTOR * job.expected_run_s
        return self.ends_at - max(run_s, _ANSWER_TIME_S)

    @contextlib.asynccontextmanager
    async def withdrawal(self, job: attempt.Job) -> AsyncIterator[None]:
        """Ends the block if no worker gets a request before it is too late.

        Args:
            job: The request that the block forwards. It is marked as withdrawn,
                so that it isn't sent any more.

        Raises:
            TimeoutError: The request was withdrawn.
        """
        async with asyncio.timeout(None) as timeout:
            request = _OpenRequest(job, timeout)
            self._open.add(request)
            try:
                if self.ends_at < math.inf:
                    self._schedule_withdrawal(request)
                yield
            finally:
                self._open.discard(request)

    def _schedule_withdrawal(self, request: _OpenRequest) -> None:
        delay_s = self.latest_start(request.job) - self._clock.monotonic()
        asyncio.get_running_loop().call_later(
            max(0.0, delay_s), self._withdraw, request
        )

    def _withdraw(self, request: _OpenRequest) -> None:
        if request not in self._open or request.job.runs_in_flight:
            return
        request.job.withdrawn = True
        request.timeout.reschedule(asyncio.get_running_loop().time())
