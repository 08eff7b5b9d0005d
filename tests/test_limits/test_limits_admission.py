"""Admission control: slots, the queue and fair shares of organisations."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import admission
from sardinedoor_node.limits import usage
from sardinedoor_schema import codes

SALT = bytes(16)
_LONG_TIMEOUT_S = 100.0


class _Worker:
    """Drives an admission with a manual clock."""

    def __init__(self, slots: int = 3):
        self.now = 0.0
        self.admission = admission.Admission(slots, SALT)

    def request(
        self,
        organisation: str = "a",
        priority: int = 0,
        timeout_s=_LONG_TIMEOUT_S,
    ):
        return self.admission.request(
            organisation, priority, self.now + timeout_s, self.now
        )

    def serve_one(self, service_s: float) -> None:
        """Serves one request, so that the mean service time is known."""
        waiter = self.request("other")
        self.now += service_s
        self.admission.release(waiter, self.now)

    def fill(self, organisation: str = "a") -> list[admission.Waiter]:
        return [self.request(organisation) for _ in range(self.admission.slots)]


class AdmissionTest(testtools.TestCase):
    def test_slots_are_never_exceeded(self):
        rng = random.Random(5)
        worker = _Worker()
        running: list[admission.Waiter] = []
        waiting: list[admission.Waiter] = []
        for _ in range(5000):
            worker.now += rng.expovariate(200)
            waiting.append(worker.request(rng.choice("abc"), rng.randrange(3)))
            if running and rng.random() < 0.6:
                done = running.pop(rng.randrange(len(running)))
                worker.admission.release(done, worker.now)
            if waiting and rng.random() < 0.1:
                worker.admission.time_out(rng.choice(waiting), worker.now)
            granted = admission.Decision.GRANTED
            running += [w for w in waiting if w.decision is granted]
            undecided = admission.Decision.WAITING
            waiting = [w for w in waiting if w.decision is undecided]
            self.assertEqual(len(running), worker.admission.in_flight)
            self.assertEqual(len(waiting), worker.admission.queued)
            self.assertLessEqual(len(running), 3)

    def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        rows = [
            # Service time, time left, refused at once.
            (0.010, 1.0, False),
            (0.010, 0.012, True),
            (0.050, 0.060, True),
            (0.050, 0.200, False),
            (2.0, 1.0, True),
        ]
        for service_s, timeout_s, refused in rows:
            worker = _Worker()
            worker.serve_one(service_s)
            worker.fill()
            waiter = worker.request("b", timeout_s=timeout_s)
            self.assertEqual(
                refused, waiter.code is codes.Code.QUEUE_FULL, service_s
            )

    def test_free_slot_is_granted_despite_a_long_service_time(self):
        worker = _Worker()
        worker.serve_one(30.0)
        waiter = worker.request(timeout_s=0.01)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)

    def test_expired_request_gets_no_slot(self):
        worker = _Worker()
        running = worker.fill()
        expired = worker.request(timeout_s=0.05)
        waiter = worker.request()
        worker.now += 0.06
        worker.admission.release(running[0], worker.now)
        self.assertIs(codes.Code.DEADLINE_EXPIRED, expired.code)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)

    def test_higher_priority_goes_first_and_displaces_a_lower_one(self):
        worker = _Worker()
        running = worker.fill()
        low = [worker.request() for _ in range(30)]
        refused = sum(w.code is codes.Code.QUEUE_FULL for w in low)
        self.assertGreater(refused, 0)
        high = worker.request(priority=5)
        self.assertIs(admission.Decision.WAITING, high.decision)
        again = sum(w.code is codes.Code.QUEUE_FULL for w in low)
        self.assertEqual(refused + 1, again)
        worker.admission.release(running[0], worker.now + 0.01)
        self.assertIs(admission.Decision.GRANTED, high.decision)

    def test_organisation_with_least_usage_goes_first(self):
        worker = _Worker()
        worker.serve_one(0.02)
        running = worker.fill("heavy")
        heavy = worker.request("heavy")
        light = worker.request("light")
        worker.now += 0.01
        worker.admission.release(running[0], worker.now)
        self.assertIs(admission.Decision.GRANTED, light.decision)
        self.assertIs(admission.Decision.WAITING, heavy.decision)

    def test_organisation_over_its_share_is_displaced(self):
        worker = _Worker()
        worker.serve_one(0.001)
        worker.fill("heavy")
        queued = [worker.request("heavy") for _ in range(30)]
        self.assertEqual(24, worker.admission.queued)
        light = worker.request("light")
        over = codes.Code.ORGANISATION_OVER_SHARE
        self.assertEqual(1, sum(w.code is over for w in queued))
        self.assertIs(admission.Decision.WAITING, light.decision)
        # The code names the organisation's share: another owner would refuse
        # the request for the same reason.
        self.assertIs(over, worker.request("heavy").code)
        self.assertIsNot(over, worker.request("another").code)

    def test_standing_queue_shortens_the_wait_limit(self):
        worker = _Worker()
        worker.serve_one(0.005)
        self.assertEqual(0.1, worker.admission.wait_limit_s(worker.now))
        worker.fill()
        worker.request()
        worker.now += 0.2
        self.assertEqual(0.02, worker.admission.wait_limit_s(worker.now))

    def test_resizing_keeps_running_requests(self):
        worker = _Worker(2)
        running = worker.fill()
        waiter = worker.request()
        worker.admission.resize(3, worker.now)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)
        worker.admission.resize(1, worker.now)
        worker.admission.release(running[0], worker.now)
        later = worker.request()
        self.assertIs(admission.Decision.WAITING, later.decision)


class UsageTest(testtools.TestCase):
    def test_few_organisations_collide_with_a_busy_one(self):
        sketch = usage.UsageSketch(SALT)
        sketch.add(sketch.cells("busy"), 100.0, 0.0)
        raised = sum(
            sketch.usage_s(sketch.cells(f"org-{n}"), 0.0) > 0
            for n in range(140_000)
        )
        # One in 65,536 is expected to share both cells.
        self.assertLess(raised, 10)

    def test_usage_decays(self):
        sketch = usage.UsageSketch(SALT)
        cells = sketch.cells("a")
        sketch.add(cells, 8.0, 0.0)
        later = 3 * usage.HALF_LIFE_S
        self.assertAlmostEqual(1.0, sketch.usage_s(cells, later))


class RateLimitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.worker = _Worker()
        self.admission = self.worker.admission
        self.admission.rate_limiter.set_rate(1.0, 0.0)

    def _request(self, max_wait_s: float | None = None):
        now = self.worker.now
        return self.admission.request("a", 0, now + 9.0, now, max_wait_s)

    def test_request_above_the_limit_waits_or_is_refused_at_once(self):
        self.worker.now = 0.5
        waiting = self._request(0.6)
        self.assertIs(admission.Decision.WAITING, waiting.decision)
        self.assertEqual(0.5, self.admission.rate_limit_delay_s(0.5))
        self.assertEqual(1.5, self.admission.expected_wait_s(0.5))
        refused = self._request(1.0)
        self.assertIs(codes.Code.TARGET_LIMITED, refused.code)
        self.admission.grant_waiting(0.9)
        self.assertIs(admission.Decision.WAITING, waiting.decision)
        self.admission.grant_waiting(1.0)
        self.assertIs(admission.Decision.GRANTED, waiting.decision)
        self.assertEqual(1, self.admission.in_flight)

    def test_hold_that_lapses_leaves_the_limit_to_the_next_request(self):
        self.worker.now = 1.0
        held = self._request()
        self.assertIs(admission.Decision.GRANTED, held.decision)
        waiting = self._request(2.0)
        self.worker.now = 1.2
        self.admission.release(held, 1.2, used=False)
        self.assertIs(admission.Decision.GRANTED, waiting.decision)

    def test_refusal_without_a_free_slot_is_not_blamed_on_the_limit(self):
        self.admission.rate_limiter.set_rate(None, 0.0)
        self.worker.fill()
        self.admission.rate_limiter.set_rate(1.0, 0.0)
        self.assertIs(codes.Code.QUEUE_FULL, self._request(0.0).code)
