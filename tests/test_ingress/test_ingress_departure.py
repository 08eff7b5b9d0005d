"""Requests that no worker has got when their node is stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import testtools

from sardinedoor_node import link
from sardinedoor_node import metrics
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.limits import retrywindow
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import inorder

_C = codes.Code
_NOTICE_S = 0.2
_LIMIT_S = 1.0
_RUN_S = 0.2
# Longer than the run was expected to take.
_ANSWER_S = 0.9


class _FullOwners:
    """Refuses offers for lack of a slot, and keeps queued ones waiting.

    Attributes:
        waits_s: Longest waits of the queued offers, in s.
        is_running: Whether queued offers have a slot at once.
        withdrawn: Number of offers that were withdrawn from a queue.
    """

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.is_running = False
        self.withdrawn = 0

    async def send(
        self, job, choice, wait_s=None, claim=None
    ) -> attempt.ForwardResult:
        worker = choice.target.worker
        if not wait_s:
            load = wire.Load(3, 1, int(_RUN_S * 1e6), 100)
            return attempt.ForwardResult(_C.QUEUE_FULL, worker, load=load)
        self.waits_s.append(wait_s)
        if not self.is_running:
            try:
                await asyncio.sleep(wait_s)
            except asyncio.CancelledError:
                self.withdrawn += 1
                raise
            return attempt.ForwardResult(_C.QUEUE_FULL, worker)
        claim()
        job.runs_in_flight += 1
        await asyncio.sleep(_ANSWER_S)
        reply = wire.Reply(b"", 200, 0, b"")
        return attempt.ForwardResult(_C.ANSWERED, worker, reply)


class _Stop:
    """A request of one ingress, which is stopped."""

    def __init__(self) -> None:
        self.time = clock.SystemClock()
        self.departure = departure.Departure(self.time)
        self.owners = _FullOwners()
        self.progress = requestprogress.Progress(self.time.monotonic())
        self.job = attempt.Job(
            wire.Request("POST", "/"),
            "pay",
            False,
            self.time.monotonic() + 30.0,
            objective_s=20.0,
        )
        self._forwarder = failover.FailoverForwarder(
            inorder.FixedDirectory(["a", "b"]),
            inorder.InOrderPicker(),
            self.owners,
            retrywindow.WindowedBudgets(
                retrywindow.RetryRules(0.0, 10.0, 60.0), lambda: 1, 0.0, 0.0
            ),
            lambda: 0,
            metrics.Metrics(),
            self.time,
            own_departure=self.departure,
        )

    def begin(self) -> None:
        """Begins the stop."""
        self.departure.begin(_NOTICE_S, _LIMIT_S)

    async def forward(self) -> attempt.ForwardResult:
        """Forwards the request and returns the result."""
        async with asyncio.timeout(2 * _LIMIT_S):
            await self._forwarder.forward(self.job, self.progress)
        return self.progress.result()


def _run(scenario: Callable[[_Stop], Awaitable[None]]) -> None:
    async def play() -> None:
        await scenario(_Stop())

    asyncio.run(play())


class DepartureTest(testtools.TestCase):
    def test_request_in_a_queue_is_refused_before_the_node_ends(self):
        async def scenario(stop: _Stop) -> None:
            asyncio.get_running_loop().call_later(0.1, stop.begin)
            result = await stop.forward()
            self.assertEqual(_C.NODE_LEAVING, result.code)
            self.assertLess(stop.time.monotonic(), stop.departure.ends_at)
            await asyncio.sleep(0)
            self.assertEqual(2, stop.owners.withdrawn)
            self.assertTrue(stop.job.withdrawn)

        _run(scenario)

    def test_request_that_waits_for_a_second_run_is_answered_as_well(self):
        """Its first run failed, so it counted as running until the end."""

        async def scenario(stop: _Stop) -> None:
            stop.job.may_have_run = True
            stop.progress.failure = attempt.ForwardResult(_C.TARGET_TIMEOUT)
            asyncio.get_running_loop().call_later(0.1, stop.begin)
            result = await stop.forward()
            self.assertEqual(_C.TARGET_TIMEOUT, result.code)
            self.assertLess(stop.time.monotonic(), stop.departure.ends_at)

        _run(scenario)

    def test_request_that_a_worker_may_run_is_not_withdrawn(self):
        async def scenario(stop: _Stop) -> None:
            stop.owners.is_running = True
            stop.begin()
            self.assertEqual(_C.ANSWERED, (await stop.forward()).code)

        _run(scenario)

    def test_request_waits_no_longer_than_its_run_would_fit(self):
        async def scenario(stop: _Stop) -> None:
            stop.begin()
            await stop.forward()
            for wait_s in stop.owners.waits_s:
                self.assertLessEqual(wait_s, _LIMIT_S - 2 * _RUN_S)

        _run(scenario)

    def test_request_that_comes_too_late_is_refused_at_once(self):
        async def scenario(stop: _Stop) -> None:
            stop.begin()
            stop.job.expected_run_s = _LIMIT_S
            result = await stop.forward()
            self.assertEqual(_C.NODE_LEAVING, result.code)
            self.assertEqual(0, stop.progress.offer_count)
            # Before, its caller would meet the same node.
            self.assertEqual(stop.departure.unused_at, stop.progress.free_at)

        _run(scenario)

    def test_waits_of_the_other_edition_end_as_well(self):
        """A request waits at the home of its key until an earlier one ends."""

        class _Placement:
            def home_worker(self, service: str, key: bytes) -> str:
                return "a"

        class _SilentHome:
            async def send(self, job, choice) -> attempt.ForwardResult:
                await asyncio.sleep(10)
                raise AssertionError

        async def scenario(stop: _Stop) -> None:
            forwarder = forward.Forwarder(
                inorder.FixedDirectory(["a", "b"]),
                None,
                inorder.InOrderPicker(),
                None,
                _Placement(),
                None,
                metrics.Metrics(),
                stop.time,
                stop.departure,
            )
            forwarder._offer_sender = _SilentHome()
            stop.job.key = "0123456789abcdef"
            stop.begin()
            async with asyncio.timeout(_LIMIT_S):
                result = await forwarder.forward(stop.job)
            self.assertEqual(_C.NODE_LEAVING, result.code)

        _run(scenario)


class _Channel(link.Channel):
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message) -> bool:
        self.sent.append(message)
        return True

    async def ready(self, timeout_s: float) -> bool:
        return True


class WithdrawnJobTest(testtools.TestCase):
    def _run(
        self,
        job: attempt.Job,
        hold_first: bool,
        *messages: object,
        is_leaving: Callable[[], bool] | None = None,
    ) -> tuple[attempt.ForwardResult, list[type]]:
        async def play() -> attempt.ForwardResult:
            inbox: asyncio.Queue = asyncio.Queue()
            for message in messages:
                inbox.put_nowait(message)
            exchange = attempt.Attempt(
                job,
                wire.Offer(b"id", "pay", "a", 1000),
                channel,
                inbox,
                clock.SystemClock(),
                is_leaving=is_leaving,
            )
            return await exchange.run(hold_first)

        channel = _Channel()
        result = asyncio.run(play())
        return result, [type(message) for message in channel.sent]

    def _job(self) -> attempt.Job:
        deadline = clock.SystemClock().monotonic() + 0.5
        return attempt.Job(wire.Request("POST", "/"), "pay", False, deadline)

    def test_slot_that_is_granted_after_the_withdrawal_is_not_used(self):
        """Otherwise a request ran whose caller was told that it did not."""
        job = self._job()
        job.withdrawn = True
        result, sent = self._run(job, True, wire.Held(b"id", b"t", 500, b"o"))
        self.assertEqual(_C.NODE_LEAVING, result.code)
        self.assertEqual([wire.Offer, wire.Cancel], sent)

    def test_request_is_not_sent_with_an_offer_after_the_withdrawal(self):
        """Its caller was told that it did not run, and it ran."""
        job = self._job()
        job.withdrawn = True
        result, sent = self._run(job, False)
        self.assertEqual(_C.NODE_LEAVING, result.code)
        self.assertEqual([], sent)

    def test_slot_of_a_target_that_has_begun_to_leave_is_not_used(self):
        """Its owner may not know yet that the target is draining."""
        held = wire.Held(b"id", b"t", 500, b"o")
        result, sent = self._run(
            self._job(), True, held, is_leaving=lambda: True
        )
        self.assertEqual(_C.WORKER_DRAINED, result.code)
        self.assertEqual([wire.Offer, wire.Cancel], sent)

    def test_request_is_in_flight_until_its_owner_tells_the_outcome(self):
        """Otherwise one that waits for a slot again is never withdrawn."""
        refusal = wire.Refusal(b"id", int(_C.QUEUE_FULL))
        held = wire.Held(b"id", b"t", 500, b"o")
        after_go = wire.Refusal(b"id", int(_C.WORKER_DRAINED), b"t")
        lost = wire.Refusal(b"id", int(_C.TARGET_CONNECTION_LOST), b"t")
        rows = [
            (False, [refusal], False),
            (True, [held, after_go], False),
            (True, [held, lost], True),
            (True, [held], True),
        ]
        for hold_first, messages, may_have_started in rows:
            job = self._job()
            self._run(job, hold_first, *messages)
            self.assertEqual(may_have_started, job.may_have_started, messages)
            self.assertEqual(0, job.runs_in_flight, messages)
