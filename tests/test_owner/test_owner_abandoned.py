"""Runs that end without a response may go on at their worker."""

from __future__ import annotations

import testtools

from sardinedoor_standins import faketarget
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime


class AbandonedRunTest(testtools.TestCase):
    def test_worker_may_be_running_for_a_while_after_a_timeout(self):
        faults = faketarget.TargetFaults(service_s=60.0)
        with virtualtime.Timeline().closing() as timeline:
            fleet = memfleet.MemoryFleet(
                timeline, 1, nodes=1, target_faults=faults
            )
            request = memfleet.CallerRequest("1", b"body", False)
            fleet.submit(1.0, "n0", request)
            owner = fleet.nodes["n0"].owner
            running = []
            while not request.result or owner.account.in_flight:
                timeline.run_until(timeline.now + 0.1)
            for _ in range(2):
                running.append(
                    (owner.account.in_flight, owner.account.may_be_running())
                )
                timeline.run_until(timeline.now + 1.1)
            self.assertEqual([(0, True), (0, False)], running)
