"""Failover between owners, repeated runs, hedging and the retry budget."""

from __future__ import annotations

import asyncio
import contextlib

import testtools

from sardinedoor_node import metrics
from sardinedoor_node import picking
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import departure
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.ingress import strategy
from sardinedoor_node.limits import retrywindow
from sardinedoor_node.membership import targets
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import inorder

_C = codes.Code


class _ScriptedOfferSender:
    """Answers the offer to each worker as scripted.

    The script maps the name of a worker to the delay of its answer in seconds
    and to an HTTP status or a result code. A list has the answers to the first
    offers; its last one is repeated.
    """

    def __init__(self, script: dict):
        self.script = script
        self.offered: list[str] = []
        self.waits_s: list[float] = []
        self.cancelled: list[str] = []
        self.cancelled_before_answer: list[str] = []

    async def send(
        self, job, choice, wait_s=None, claim=None
    ) -> attempt.ForwardResult:
        name = choice.target.worker
        self.offered.append(name)
        self.waits_s.append(wait_s)
        scripted = self.script[name]
        if isinstance(scripted, list):
            scripted = scripted[
                min(self.offered.count(name), len(scripted)) - 1
            ]
        delay_s, answer = scripted
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        reply = None
        code = answer
        if claim is not None and not _is_refusal(answer) and not claim():
            return attempt.ForwardResult(_C.TICKET_LAPSED, name)
        if claim is not None:
            # The run takes as long as the wait did.
            await asyncio.sleep(delay_s)
            self.cancelled_before_answer = list(self.cancelled)
        if not isinstance(answer, codes.Code):
            code = _C.ANSWERED
            reply = wire.Reply(b"", answer, 0, b"")
        return attempt.ForwardResult(code, name, reply)


def _is_refusal(answer: int | codes.Code) -> bool:
    return (
        isinstance(answer, codes.Code)
        and codes.outcome(answer) is codes.Outcome.NOT_RUN
    )


def _forward(
    script: dict,
    idempotent: bool,
    max_runs: int = 2,
    burst: float = 60.0,
    ratio: float = 0.0,
    nested: bool = False,
) -> tuple[attempt.ForwardResult, _ScriptedOfferSender]:
    sender = _ScriptedOfferSender(script)

    async def run() -> attempt.ForwardResult:
        time = clock.SystemClock()
        forwarder = failover.FailoverForwarder(
            inorder.FixedDirectory(list(script)),
            inorder.InOrderPicker(),
            sender,
            retrywindow.WindowedBudgets(
                retrywindow.RetryRules(ratio, 10.0, burst),
                lambda: 1,
                time.monotonic() - 10.0,
                0.0,
            ),
            lambda: 0,
            metrics.Metrics(),
            time,
        )
        job = attempt.Job(
            wire.Request("GET", "/"),
            "pay",
            idempotent,
            time.monotonic() + 2,
            objective_s=0.2,
            max_runs=max_runs,
            may_be_nested=nested,
        )
        progress = requestprogress.Progress(time.monotonic())
        async with asyncio.timeout(2):
            await forwarder.forward(job, progress)
        return progress.result()

    return asyncio.run(run()), sender


class ConcurrentResultsTest(testtools.TestCase):
    def test_answer_is_kept_if_another_offer_fails_in_the_same_step(self):
        """The result that was recorded last replaced the answer."""
        answer = attempt.ForwardResult(
            _C.ANSWERED, "a", wire.Reply(b"", 200, 0, b"")
        )
        others = (
            attempt.ForwardResult(
                _C.ANSWERED, "b", wire.Reply(b"", 500, 0, b"")
            ),
            attempt.ForwardResult(_C.TARGET_TIMEOUT, "b"),
            attempt.ForwardResult(_C.QUEUE_FULL, "b"),
        )
        for other in others:
            for results in ((answer, other), (other, answer)):
                self.assertIs(answer, self._record(results), other)

    def _record(
        self, results: tuple[attempt.ForwardResult, ...]
    ) -> attempt.ForwardResult:
        decisions = strategy.OfferStrategy(
            inorder.InOrderPicker(),
            metrics.Metrics(),
            departure.Departure(clock.SystemClock()),
        )
        job = attempt.Job(wire.Request("GET", "/"), "pay", True, 2.0)
        progress = requestprogress.Progress(0.0)
        budget = retrywindow.WindowedBudgets(
            retrywindow.RetryRules(0.0, 10.0, 60.0), lambda: 1, 0.0, 0.0
        ).for_service("pay")
        for result in results:
            target = targets.Target(result.worker, "pay", result.worker, False)
            decisions.record(
                job,
                progress,
                picking.Choice(target),
                result,
                budget,
                False,
                1.0,
            )
        return progress.result()


class FailoverForwarderTest(testtools.TestCase):
    def test_request_that_loses_its_place_in_a_queue_waits_in_another(self):
        """The queue of a target that leaves is closed beside a full one."""
        for code in (_C.WORKER_DRAINED, _C.TARGET_LEAVING, _C.NODE_LEAVING):
            result, sender = _forward(
                {
                    "a": [(0.0, _C.QUEUE_FULL), (0.02, code)],
                    "b": [
                        (0.0, _C.QUEUE_FULL),
                        (0.01, _C.QUEUE_FULL),
                        (0.01, 200),
                    ],
                },
                False,
            )
            self.assertEqual(_C.ANSWERED, result.code, code)
            self.assertEqual(["a", "b", "a", "b", "b"], sender.offered, code)

    def test_any_request_that_was_not_run_fails_over(self):
        for code in (
            _C.TARGET_EJECTED,
            _C.QUEUE_FULL,
            _C.LINK_DOWN,
            _C.NODE_LEAVING,
            _C.TARGET_REPLACED,
            _C.TARGET_REFUSED,
            _C.CONNECT_FAILED,
            _C.HOLD_TIMEOUT,
        ):
            for idempotent in (False, True):
                result, sender = _forward(
                    {"a": (0, code), "b": (0, 200)}, idempotent
                )
                self.assertEqual(200, result.reply.status, code)
                self.assertEqual(["a", "b"], sender.offered)

    def test_target_whose_link_is_opening_is_offered_again(self):
        opening = [(0, _C.LINK_DOWN), (0, 200)]
        for idempotent in (False, True):
            result, sender = _forward({"a": opening}, idempotent)
            self.assertEqual(200, result.reply.status)
            self.assertEqual(["a", "a"], sender.offered)

    def test_link_that_stays_down_is_given_up_early(self):
        result, sender = _forward({"a": (0, _C.LINK_DOWN)}, False)
        self.assertEqual(_C.LINK_DOWN, result.code)
        self.assertLess(len(sender.offered), 5)

    def test_failed_request_is_repeated_once_another_owner_has_a_slot(self):
        for refusal in (_C.LINK_DOWN, _C.QUEUE_FULL):
            result, sender = _forward(
                {"a": (0, 500), "b": [(0, refusal), (0, 200)]}, True
            )
            self.assertEqual(200, result.reply.status, refusal)
            self.assertEqual(["a", "b", "b"], sender.offered)

    def test_request_waits_in_two_queues_once_a_few_owners_are_busy(self):
        script = dict.fromkeys("abcde", (0, _C.QUEUE_FULL))
        script["a"] = [(0, _C.QUEUE_FULL), (0.05, 200)]
        script["b"] = [(0, _C.QUEUE_FULL), (0.02, 200)]
        result, sender = _forward(script, False)
        self.assertEqual("b", result.worker)
        self.assertEqual(list("abcdab"), sender.offered)
        self.assertEqual([0.0] * 4, sender.waits_s[:4])
        longest_s = strategy.SLOT_WAIT_SHARE * 0.2
        for wait_s in sender.waits_s[4:]:
            self.assertTrue(0 < wait_s <= longest_s, wait_s)
        self.assertEqual(["a"], sender.cancelled_before_answer)

    def test_only_one_waiting_offer_gets_the_request(self):
        async def run() -> list[bool]:
            race = failover.Race()
            claims: list[bool] = []

            async def offer() -> None:
                # Claims even if its cancellation comes at the same time.
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(0)
                claims.append(race.claim())

            race.tasks |= {asyncio.create_task(offer()) for _ in range(2)}
            await asyncio.gather(*race.tasks, return_exceptions=True)
            return claims

        self.assertEqual([True, False], asyncio.run(run()))

    def test_request_is_refused_at_once_if_all_queues_are_too_long(self):
        script = dict.fromkeys("abcde", (0, _C.QUEUE_FULL))
        result, sender = _forward(script, False)
        self.assertEqual(_C.QUEUE_FULL, result.code)
        self.assertEqual(list("abcdab"), sender.offered)

    def test_request_is_refused_once_its_objective_has_passed(self):
        script = dict.fromkeys("abcdefgh", (0.09, _C.HOLD_TIMEOUT))
        result, sender = _forward(script, False)
        self.assertEqual(_C.HOLD_TIMEOUT, result.code)
        # Each offer takes nearly half of the objective.
        self.assertEqual(3, len(sender.offered))

    def test_failed_request_is_repeated_though_its_objective_has_passed(self):
        result, _ = _forward({"a": (0.25, 500), "b": (0, 200)}, True)
        self.assertEqual(200, result.reply.status)

    def test_probably_failing_target_is_tried_last(self):
        result, sender = _forward(
            {"A": (0, 200), "b": (0, _C.QUEUE_FULL)}, False
        )
        self.assertEqual("A", result.worker)
        self.assertEqual(["b", "b", "A"], sender.offered)

    def test_request_that_may_have_run_is_repeated_only_if_idempotent(self):
        for answer in (500, _C.TARGET_CONNECTION_LOST, _C.REPLY_INVALID):
            result, sender = _forward({"a": (0, answer), "b": (0, 200)}, False)
            self.assertEqual(["a"], sender.offered)
            result, sender = _forward({"a": (0, answer), "b": (0, 200)}, True)
            self.assertEqual(["a", "b"], sender.offered)
            self.assertEqual(200, result.reply.status)

    def test_runs_are_limited_by_max_runs(self):
        script = dict.fromkeys("abcd", (0, 500))
        _, sender = _forward(script, True, max_runs=2)
        self.assertEqual(2, len(sender.offered))

    def test_failure_is_returned_when_the_retry_budget_is_spent(self):
        result, sender = _forward(
            {"a": (0, 500), "b": (0, 200)}, True, burst=0.0
        )
        self.assertEqual(["a"], sender.offered)
        self.assertEqual(500, result.reply.status)

    def test_refusals_by_workers_are_charged_to_the_retry_budget(self):
        result, sender = _forward(
            {"a": (0, _C.TARGET_REFUSED), "b": (0, 200)}, False, burst=0.0
        )
        self.assertEqual(["a"], sender.offered)
        self.assertEqual(_C.TARGET_REFUSED, result.code)

    def test_only_requests_that_are_not_nested_add_to_the_retry_budget(self):
        for nested, expected in ((False, ["a", "b"]), (True, ["a"])):
            _, sender = _forward(
                {"a": (0, 500), "b": (0, 200)},
                True,
                burst=0.0,
                ratio=10.0,
                nested=nested,
            )
            self.assertEqual(expected, sender.offered)

    def test_first_offer_is_kept_if_the_hedge_is_refused(self):
        result, sender = _forward(
            {"a": (0.3, 200), "b": (0, _C.QUEUE_FULL)}, True
        )
        self.assertEqual(200, result.reply.status)
        self.assertEqual("a", result.worker)
        self.assertEqual([], sender.cancelled)

    def test_first_offer_is_cancelled_when_the_hedge_is_answered(self):
        result, sender = _forward({"a": (1.5, 200), "b": (0, 200)}, True)
        self.assertEqual("b", result.worker)
        self.assertEqual(["a"], sender.cancelled)

    def test_unknown_outcome_takes_precedence_over_later_refusals(self):
        result, _ = _forward(
            {"a": (0, _C.TARGET_CONNECTION_LOST), "b": (0, _C.QUEUE_FULL)},
            True,
        )
        self.assertIs(codes.Outcome.UNKNOWN, codes.outcome(result.code))
