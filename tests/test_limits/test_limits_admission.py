"""Slots, the queue in front of them, and shares of organisations."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.limits import admission
from sardinedoor_node.limits import usage
from sardinedoor_schema import codes

SALT = bytes(16)
_FAR = 100.0


class _Worker:
    """Drives an admission by hand, on a clock of its own."""

    def __init__(self, slots: int = 3):
        self.now = 0.0
        self.admission = admission.Admission(slots, SALT)

    def ask(self, organisation: str = "a", priority: int = 0, left_s=_FAR):
        return self.admission.request(
            organisation, priority, self.now + left_s, self.now
        )

    def learn(self, service_s: float) -> None:
        """Serves one request, so that the service time is known."""
        waiter = self.ask("other")
        self.now += service_s
        self.admission.release(waiter, self.now)

    def fill(self, organisation: str = "a") -> list[admission.Waiter]:
        return [self.ask(organisation) for _ in range(self.admission.slots)]


class AdmissionTest(testtools.TestCase):
    def test_slots_are_never_exceeded(self):
        rng = random.Random(5)
        worker = _Worker()
        running: list[admission.Waiter] = []
        waiting: list[admission.Waiter] = []
        for _ in range(5000):
            worker.now += rng.expovariate(200)
            waiting.append(worker.ask(rng.choice("abc"), rng.randrange(3)))
            if running and rng.random() < 0.6:
                done = running.pop(rng.randrange(len(running)))
                worker.admission.release(done, worker.now)
            if waiting and rng.random() < 0.1:
                worker.admission.give_up(rng.choice(waiting), worker.now)
            granted = admission.Decision.GRANTED
            running += [w for w in waiting if w.decision is granted]
            undecided = admission.Decision.WAITING
            waiting = [w for w in waiting if w.decision is undecided]
            self.assertEqual(len(running), worker.admission.in_flight)
            self.assertEqual(len(waiting), worker.admission.queued)
            self.assertLessEqual(len(running), 3)

    def test_what_cannot_be_served_in_time_is_refused_at_once(self):
        rows = [
            # Service time, time left, refused at once.
            (0.010, 1.0, False),
            (0.010, 0.012, True),
            (0.050, 0.060, True),
            (0.050, 0.200, False),
            (2.0, 1.0, True),
        ]
        for service_s, left_s, refused in rows:
            worker = _Worker()
            worker.learn(service_s)
            worker.fill()
            waiter = worker.ask("b", left_s=left_s)
            self.assertEqual(
                refused, waiter.code is codes.Code.QUEUE_FULL, service_s
            )

    def test_a_free_slot_is_given_whatever_the_estimate(self):
        worker = _Worker()
        worker.learn(30.0)
        waiter = worker.ask(left_s=0.01)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)

    def test_an_expired_waiter_is_not_run(self):
        worker = _Worker()
        running = worker.fill()
        late = worker.ask(left_s=0.05)
        waiter = worker.ask()
        worker.now += 0.06
        worker.admission.release(running[0], worker.now)
        self.assertIs(codes.Code.DEADLINE_EXPIRED, late.code)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)

    def test_priority_goes_first_and_displaces(self):
        worker = _Worker()
        running = worker.fill()
        low = [worker.ask() for _ in range(30)]
        refused = sum(w.code is codes.Code.QUEUE_FULL for w in low)
        self.assertGreater(refused, 0)
        high = worker.ask(priority=5)
        self.assertIs(admission.Decision.WAITING, high.decision)
        again = sum(w.code is codes.Code.QUEUE_FULL for w in low)
        self.assertEqual(refused + 1, again)
        worker.admission.release(running[0], worker.now + 0.01)
        self.assertIs(admission.Decision.GRANTED, high.decision)

    def test_the_organisation_that_used_least_goes_first(self):
        worker = _Worker()
        worker.learn(0.02)
        running = worker.fill("much")
        much = worker.ask("much")
        little = worker.ask("little")
        worker.now += 0.01
        worker.admission.release(running[0], worker.now)
        self.assertIs(admission.Decision.GRANTED, little.decision)
        self.assertIs(admission.Decision.WAITING, much.decision)

    def test_over_its_share_an_organisation_makes_room(self):
        worker = _Worker()
        worker.learn(0.001)
        worker.fill("much")
        queued = [worker.ask("much") for _ in range(30)]
        self.assertEqual(24, worker.admission.queued)
        little = worker.ask("little")
        over = codes.Code.ORGANISATION_OVER_SHARE
        self.assertEqual(1, sum(w.code is over for w in queued))
        self.assertIs(admission.Decision.WAITING, little.decision)
        # Another owner would refuse it as well, so the code says why.
        self.assertIs(over, worker.ask("much").code)
        self.assertIsNot(over, worker.ask("another").code)

    def test_a_queue_that_stays_gets_short(self):
        worker = _Worker()
        worker.learn(0.005)
        self.assertEqual(0.1, worker.admission.wait_limit_s(worker.now))
        worker.fill()
        worker.ask()
        worker.now += 0.2
        self.assertEqual(0.02, worker.admission.wait_limit_s(worker.now))

    def test_resizing_keeps_what_runs(self):
        worker = _Worker(2)
        running = worker.fill()
        waiter = worker.ask()
        worker.admission.resize(3, worker.now)
        self.assertIs(admission.Decision.GRANTED, waiter.decision)
        worker.admission.resize(1, worker.now)
        worker.admission.release(running[0], worker.now)
        later = worker.ask()
        self.assertIs(admission.Decision.WAITING, later.decision)


class UsageTest(testtools.TestCase):
    def test_memory_is_bounded_and_others_stay_apart(self):
        sketch = usage.UsageSketch(SALT)
        sketch.add(sketch.cells("busy"), 100.0, 0.0)
        raised = sum(
            sketch.use_s(sketch.cells(f"org-{n}"), 0.0) > 0
            for n in range(140_000)
        )
        # One in 65,536 is expected to share both cells.
        self.assertLess(raised, 10)

    def test_use_decays(self):
        sketch = usage.UsageSketch(SALT)
        cells = sketch.cells("a")
        sketch.add(cells, 8.0, 0.0)
        later = 3 * usage.HALF_LIFE_S
        self.assertAlmostEqual(1.0, sketch.use_s(cells, later))
