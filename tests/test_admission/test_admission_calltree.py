"""Admission by the call tree, under a load that the lowest service can't carry."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node.admission import calltree
from sardinedoor_standins import treesim

_BOTTOM_SLOTS = 36
_LENGTH_S = 60.0
_WARM_UP_S = 15.0


def _play(room: float, knows_calls: bool = True) -> treesim.TreeSimulation:
    """Plays a load that asks the lowest service for a multiple of its room.

    Three quarters of it are calls.
    """
    asked_s = room * _BOTTOM_SLOTS
    plan = treesim.Plan(
        lodge_rate=0.75 * asked_s / (2 * 0.25),
        upload_rate=0.25 * asked_s / 1.2,
        knows_calls=knows_calls,
    )
    simulation = treesim.TreeSimulation(plan, random.Random(4))
    simulation.run(_LENGTH_S, _WARM_UP_S)
    return simulation


class LoadTest(testtools.TestCase):
    def test_few_requests_fail_after_they_ran(self):
        for room in (0.5, 0.8, 1.0, 1.25):
            lodge = _play(room).tallies["lodge"]
            self.assertLess(lodge.failed, 0.01 * lodge.asked, room)

    def test_the_lowest_service_does_useful_work_at_its_limit(self):
        for room in (1.25, 1.5):
            simulation = _play(room)
            carried = _BOTTOM_SLOTS * (_LENGTH_S - _WARM_UP_S)
            self.assertGreaterEqual(simulation.useful_s, 0.95 * carried, room)

    def test_no_route_gets_less_than_half_of_the_mean(self):
        for room in (1.0, 1.25, 1.5):
            tallies = _play(room).tallies
            asked = sum(t.asked for t in tallies.values())
            mean = sum(t.served for t in tallies.values()) / asked
            for route, tally in tallies.items():
                self.assertGreaterEqual(
                    tally.served_share, mean / 2, (room, route)
                )

    def test_nothing_is_refused_with_room_to_spare(self):
        for route, tally in _play(0.5).tallies.items():
            self.assertLess(tally.refused, 0.01 * tally.asked, route)

    def test_roots_are_refused_at_once(self):
        lodge = _play(1.5).tallies["lodge"]
        self.assertGreater(lodge.refused, 0)
        self.assertLess(lodge.refused_late, 0.1 * lodge.refused)

    def test_without_the_call_tree_requests_fail_after_they_ran(self):
        lodge = _play(1.25, knows_calls=False).tallies["lodge"]
        self.assertGreater(lodge.failed, 0.05 * lodge.asked)


class CallTreeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.calls = calltree.CallTree()

    def _run(self, number: int, route: str, called: int) -> None:
        run_id = b"%d" % number
        self.calls.run_started(run_id, route)
        for _ in range(called):
            self.calls.call_started("intake")
        self.calls.run_ended(run_id)

    def test_only_routes_that_call_a_full_service_are_refused(self):
        for number in range(100):
            self._run(number, "lodge", 2)
            self._run(number, "view", 0)
        self.calls.report_wait("intake", 1.5, 1.5, 10.0)
        self.assertGreater(self.calls.refusal_share("lodge", 10.1), 0.9)
        self.assertEqual(0.0, self.calls.refusal_share("view", 10.1))

    def test_an_old_report_says_nothing(self):
        for number in range(100):
            self._run(number, "lodge", 2)
        self.calls.report_wait("intake", 1.5, 1.5, 10.0)
        self.assertEqual(0.0, self.calls.refusal_share("lodge", 14.0))

    def test_a_failed_call_explains_one_failed_run_shortly_after_it(self):
        self.calls.call_failed(1.0)
        self.assertTrue(self.calls.take_failed_call(1.1))
        self.assertFalse(self.calls.take_failed_call(1.1))
        self.calls.call_failed(2.0)
        self.assertFalse(self.calls.take_failed_call(2.5))
