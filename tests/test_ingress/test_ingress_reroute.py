"""From owner to owner: what is repeated, what moves on, what ends."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import directory
from sardinedoor_node import metrics
from sardinedoor_node import picking
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import reroute
from sardinedoor_node.limits import windows
from sardinedoor_node.membership import targets
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

_C = codes.Code


class _Directory(directory.Directory):
    def __init__(self, names: list[str]):
        self._targets = [
            targets.Target(name, "pay", name, False) for name in names
        ]

    @property
    def own_name(self) -> str:
        return "own"

    def targets(self, service: str) -> list[targets.Target]:
        return self._targets

    def peer(self, name: str) -> directory.Peer | None:
        return directory.Peer(name, name)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        pass


class _InOrder(picking.Picker):
    def pick(self, candidates, tried, idempotent=False):
        for target in candidates:
            if target.worker not in tried:
                return picking.Choice(target)
        return None

    def started(self, target):
        return 0.0

    def finished(self, target, token, feedback):
        pass


class _Offers:
    """Answers each target's offer from a script of (delay, outcome)."""

    def __init__(self, script: dict):
        self.script = script
        self.made: list[str] = []
        self.cancelled: list[str] = []

    async def make(self, job, choice) -> attempt.Forwarded:
        name = choice.target.worker
        self.made.append(name)
        delay_s, outcome = self.script[name]
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        reply = None
        code = outcome
        if not isinstance(outcome, codes.Code):
            code = _C.ANSWERED
            reply = wire.Reply(b"", outcome, 0, b"")
        return attempt.Forwarded(code, name, reply)


def _forward(
    script: dict,
    idempotent: bool,
    max_runs: int = 2,
    burst: float = 60.0,
    ratio: float = 0.0,
    nested: bool = False,
) -> tuple[attempt.Forwarded, _Offers]:
    made = _Offers(script)

    async def run() -> attempt.Forwarded:
        time = clock.SystemClock()
        rerouter = reroute.Rerouter(
            _Directory(list(script)),
            _InOrder(),
            made,
            windows.WindowedBudgets(
                windows.RetryRules(ratio, 10.0, burst),
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
            nested=nested,
        )
        course = reroute.Course(time.monotonic())
        async with asyncio.timeout(2):
            await rerouter.forward(job, course)
        return course.outcome()

    return asyncio.run(run()), made


class ReroutingTest(testtools.TestCase):
    def test_refusals_move_on_for_any_work(self):
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
                outcome, made = _forward(
                    {"a": (0, code), "b": (0, 200)}, idempotent
                )
                self.assertEqual(200, outcome.reply.status, code)
                self.assertEqual(["a", "b"], made.made)

    def test_work_that_may_have_run_is_repeated_only_if_idempotent(self):
        for result in (500, _C.TARGET_CONNECTION_LOST, _C.REPLY_INVALID):
            outcome, made = _forward({"a": (0, result), "b": (0, 200)}, False)
            self.assertEqual(["a"], made.made)
            outcome, made = _forward({"a": (0, result), "b": (0, 200)}, True)
            self.assertEqual(["a", "b"], made.made)
            self.assertEqual(200, outcome.reply.status)

    def test_runs_are_bounded(self):
        script = dict.fromkeys("abcd", (0, 500))
        _, made = _forward(script, True, max_runs=2)
        self.assertEqual(2, len(made.made))

    def test_a_spent_budget_ends_with_the_failure(self):
        outcome, made = _forward(
            {"a": (0, 500), "b": (0, 200)}, True, burst=0.0
        )
        self.assertEqual(["a"], made.made)
        self.assertEqual(500, outcome.reply.status)

    def test_rejected_arrivals_draw_on_the_budget(self):
        outcome, made = _forward(
            {"a": (0, _C.TARGET_REFUSED), "b": (0, 200)}, False, burst=0.0
        )
        self.assertEqual(["a"], made.made)
        self.assertEqual(_C.TARGET_REFUSED, outcome.code)

    def test_requests_of_callers_earn_further_attempts_and_calls_do_not(self):
        for nested, expected in ((False, ["a", "b"]), (True, ["a"])):
            _, made = _forward(
                {"a": (0, 500), "b": (0, 200)},
                True,
                burst=0.0,
                ratio=10.0,
                nested=nested,
            )
            self.assertEqual(expected, made.made)

    def test_a_silent_target_is_not_given_up_before_another_answers(self):
        outcome, made = _forward(
            {"a": (0.3, 200), "b": (0, _C.QUEUE_FULL)}, True
        )
        self.assertEqual(200, outcome.reply.status)
        self.assertEqual("a", outcome.worker)
        self.assertEqual([], made.cancelled)

    def test_the_second_offer_wins_and_ends_the_first(self):
        outcome, made = _forward({"a": (1.5, 200), "b": (0, 200)}, True)
        self.assertEqual("b", outcome.worker)
        self.assertEqual(["a"], made.cancelled)

    def test_unknown_goes_before_later_refusals(self):
        outcome, _ = _forward(
            {"a": (0, _C.TARGET_CONNECTION_LOST), "b": (0, _C.QUEUE_FULL)},
            True,
        )
        self.assertIs(codes.Outcome.UNKNOWN, codes.outcome(outcome.code))
