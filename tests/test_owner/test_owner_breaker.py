"""Circuit breaker: failures, and refusals of a target that has free slots."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node.admission import calltree
from sardinedoor_node.health import markovfilter
from sardinedoor_node.owner import breaker
from sardinedoor_node.owner import target
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire
from sardinedoor_standins import virtualtime

_C = codes.Code
_OK = target.TargetReply(_C.ANSWERED, status=200)
_ERROR = target.TargetReply(_C.ANSWERED, status=500)
_REFUSED = target.TargetReply(_C.TARGET_REFUSED)


class CircuitBreakerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = virtualtime.ManualClock()
        self.gate = breaker.CircuitBreaker(
            markovfilter.FailureModel(), self.clock
        )

    def _run(self, *replies: target.TargetReply) -> None:
        async def run() -> None:
            for reply in replies:
                self.gate.end_run(self.gate.begin_run(), reply)

        asyncio.run(run())

    def _admits(self, **fields) -> bool:
        return self.gate.admits(wire.Offer(b"", "pay", "w", 1000, **fields))

    def test_requests_that_cannot_be_repeated_need_evidence_of_health(self):
        self._run(_OK, _OK, _OK)
        self.assertTrue(self._admits())
        # In this time the worker may have begun to fail.
        self.clock.now_s += 0.5
        self._run(_ERROR)
        self.assertFalse(self._admits())
        self.assertTrue(self._admits(idempotent=True, may_repeat=True))

    def test_trials_are_requests_that_can_be_repeated(self):
        self._run(_ERROR, _ERROR, _ERROR)
        self.assertFalse(self._admits(idempotent=True, may_repeat=False))
        self.assertTrue(self._admits(idempotent=True, may_repeat=True))
        # The next one has to wait for the interval.
        self.assertFalse(self._admits(idempotent=True, may_repeat=True))
        self.clock.now_s += breaker.TRIAL_INTERVAL_S
        self.assertTrue(self._admits(idempotent=True, may_repeat=True))

    def test_worker_of_unknown_health_admits_one_request_after_refusals(self):
        """All owners of a fleet that has just started refused, for seconds."""
        refusals = breaker.MAX_UNPROVEN_REFUSALS
        answers = [self._admits() for _ in range(refusals + 1)]
        self.assertEqual([False] * refusals + [True], answers)

        async def run() -> None:
            run = self.gate.begin_run()
            self.assertEqual([False] * 5, [self._admits() for _ in range(5)])
            self.gate.end_run(run, _OK)

        asyncio.run(run())
        self.assertTrue(self._admits())

    def test_limited_worker_of_unknown_health_admits_none(self):
        """Requests that its limit didn't admit were refused after a wait."""
        self.gate.is_limited = True
        self.assertFalse(any(self._admits() for _ in range(20)))

    def test_failing_worker_admits_none_however_often_it_refuses(self):
        self._run(_ERROR, _ERROR)
        self.assertFalse(any(self._admits() for _ in range(20)))

    def test_failed_call_is_not_the_workers_failure(self):
        calls = calltree.CallTree()
        self.gate = breaker.CircuitBreaker(
            markovfilter.FailureModel(), self.clock, calls
        )
        self._run(_OK, _OK)
        calls.call_failed(self.clock.monotonic())
        self._run(_ERROR)
        self.assertTrue(self._admits())
        self._run(_ERROR)
        self.assertFalse(self._admits())

    def test_nested_request_keeps_off_a_worker_with_a_failure(self):
        self.assertTrue(
            self._admits(idempotent=True, may_repeat=True, nested=True)
        )
        self._run(_ERROR)
        self.clock.now_s += 9.0
        fields = {"idempotent": True, "may_repeat": True}
        # The first one is the trial that is due.
        self.assertTrue(self._admits(**fields, nested=True))
        self.assertFalse(self._admits(**fields, nested=True))
        self.assertTrue(self._admits(**fields))

    def test_last_resort_is_admitted(self):
        self._run(_ERROR, _ERROR, _ERROR)
        self.assertTrue(self._admits(rotation="floor"))

    def test_refusals_are_no_failures(self):
        self._run(*[_OK] * 6)
        before = wire.Load()
        self.gate.annotate_load("w", before)
        self._run(_REFUSED)
        after = wire.Load()
        self.gate.annotate_load("w", after)
        self.assertFalse(after.ejected)
        # The chance of being served falls by the share refused only.
        self.assertGreater(after.weight_percent, 0.8 * before.weight_percent)
        self.assertTrue(self._admits())

    def test_worker_that_refuses_many_gets_trials_and_last_resorts_only(self):
        self._run(*[_OK, _REFUSED] * 6)
        self.assertFalse(self._admits())
        self.assertTrue(self._admits(rotation="floor"))
        load = wire.Load()
        self.gate.annotate_load("w", load)
        self.assertTrue(load.ejected)
        self._run(*[_OK] * 12)
        self.assertTrue(self._admits())
