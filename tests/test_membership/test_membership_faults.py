"""Member states under faults of nodes, links and the platform.

The nodes run in memory and in virtual time.
"""

from __future__ import annotations

import contextlib

import testtools

from sardinedoor_standins import memcluster
from sardinedoor_standins import memlink

NODES = 8
SEEDS = (1, 2)
SETTINGS = "[team]\nname = office\n[service permits]\nworkers = n0-w, n1-w\n"
DETECTION_S = 7.0
SETTLE_S = 8.0


@contextlib.contextmanager
def cluster(seed: int, count: int = NODES, faults=None):
    """Runs a cluster until all its nodes know each other and serve."""
    running = memcluster.Cluster(seed, faults)
    with running.timeline.closing():
        running.edit("office", SETTINGS)
        running.start_many(count)
        running.run(SETTLE_S)
        yield running


def others(running: memcluster.Cluster, *names: str) -> list[str]:
    """Lists the running nodes except for those named."""
    return [name for name in running.nodes if name not in names]


class FaultTest(testtools.TestCase):
    def assert_states(self, running, observers, member, state):
        seen = {n: running.nodes[n].states().get(member) for n in observers}
        self.assertEqual(dict.fromkeys(observers, state), seen, member)

    def assert_all_alive(self, running):
        for name in running.nodes:
            self.assert_states(running, others(running, name), name, "ALIVE")

    def test_start_crash_restart_and_join(self):
        for seed in SEEDS:
            with cluster(seed) as running:
                self.assert_all_alive(running)
                self.assertTrue(all(n.serving for n in running.nodes.values()))
                running.kill("n3")
                running.run(DETECTION_S)
                self.assert_states(running, list(running.nodes), "n3", "DEAD")
                targets = running.nodes["n0"].members.targets("permits")
                self.assertNotIn("n3", [t.node for t in targets])
                running.start("n3")
                running.start("n9")
                running.run(3)
                self.assert_all_alive(running)

    def test_one_way_cut_of_one_link_makes_no_member_dead(self):
        for seed in SEEDS:
            with cluster(seed) as running:
                observer = running.nodes["n0"]
                member = observer.membership.neighbours.monitored()[0]
                running.cut(["n0"], [member], 30)
                for _ in range(100):
                    running.run(0.2)
                    rest = others(running, member)
                    self.assert_states(running, rest, member, "ALIVE")
                entry = observer.members.entries[member]
                self.assertEqual("ALIVE", entry.state.name)
                self.assertFalse(entry.reachable)
                targets = observer.members.targets("permits")
                self.assertNotIn(member, [t.node for t in targets])
                rest = others(running, "n0", member)
                self.assert_states(running, rest, member, "ALIVE")
                running.run(20)
                self.assertTrue(entry.reachable)

    def test_node_that_receives_nothing_suspects_nobody(self):
        for seed in SEEDS:
            with cluster(seed) as running:
                rest = others(running, "n0")
                running.cut(rest, ["n0"], 20)
                for _ in range(75):
                    running.run(0.2)
                    for name in rest:
                        observers = others(running, "n0", name)
                        self.assert_states(running, observers, name, "ALIVE")
                running.run(25)
                self.assert_all_alive(running)

    def test_members_are_alive_again_after_a_partition_heals(self):
        for seed in SEEDS:
            with cluster(seed, 12) as running:
                side = ["n0", "n4", "n8"]
                rest = others(running, *side)
                running.cut(side, rest, 60)
                running.cut(rest, side, 60)
                running.run(30)
                for name in side:
                    self.assert_states(running, rest, name, "DEAD")
                for name in rest:
                    self.assert_states(running, side, name, "DEAD")
                running.run(30 + 30)
                self.assert_all_alive(running)

    def test_node_suspects_nobody_after_a_long_pause(self):
        for seed in SEEDS:
            with cluster(seed) as running:
                rest = others(running, "n2")
                running.nodes["n2"].loop.freeze(12)
                running.run(11)
                self.assert_states(running, rest, "n2", "DEAD")
                for _ in range(60):
                    running.run(0.1)
                    for name in rest:
                        observers = others(running, name)
                        self.assert_states(running, observers, name, "ALIVE")
                running.run(10)
                self.assert_all_alive(running)

    def test_short_pauses_make_no_member_dead(self):
        for seed in SEEDS:
            with cluster(seed, 20) as running:
                for name in ("n3", "n11"):
                    running.nodes[name].loop.freeze(2)
                for _ in range(80):
                    running.run(0.1)
                    for node in running.nodes.values():
                        self.assertNotIn("DEAD", node.states().values())
                self.assert_all_alive(running)

    def test_new_instance_at_the_address_of_a_dead_one(self):
        for seed in SEEDS:
            with cluster(seed) as running:
                running.kill("n3")
                running.start("n9", address="n3")
                running.run(12)
                self.assert_states(running, list(running.nodes), "n3", "DEAD")
                observers = others(running, "n9")
                self.assert_states(running, observers, "n9", "ALIVE")

    def test_restart_with_a_clock_that_is_behind(self):
        with cluster(1) as running:
            old_epoch = running.nodes["n3"].own.epoch
            running.kill("n3")
            running.start("n3")
            running.nodes["n3"].own.epoch = old_epoch - 5000
            running.run(15)
            self.assert_all_alive(running)
            incarnation = running.nodes["n3"].own.incarnation
            for node in running.nodes.values():
                entry = node.members.entries["n3"]
                self.assertEqual(incarnation, entry.incarnation)

    def test_leaving_reaches_all_nodes_within_a_second(self):
        for seed in SEEDS:
            with cluster(seed, 16) as running:
                leaver = running.nodes["n5"]
                leaver.loop.call_soon(
                    leaver.members.mark_leaving, "n5", "planned stop"
                )
                running.run(1)
                for node in running.nodes.values():
                    targets = node.members.targets("permits")
                    self.assertNotIn("n5", [t.node for t in targets])
                running.run(30)
                for node in running.nodes.values():
                    self.assertTrue(node.members.entries["n5"].leaving)

    def test_leaving_instance_in_the_list_of_the_platform(self):
        with cluster(1) as running:
            names = list(running.nodes)
            running.publish(names, leaving=("n5",))
            running.run(3)
            for node in running.nodes.values():
                self.assertTrue(node.members.entries["n5"].leaving)
            running.kill("n5")
            running.start("n5")
            running.run(20)
            for node in running.nodes.values():
                self.assertFalse(node.members.entries["n5"].leaving)

    def test_faulty_platform_lists_have_no_immediate_effect(self):
        cases = {
            "emptied": {"list_emptied": True},
            "shrunk": {"list_shrunk": 1},
            "stale": {"stale": True},
            "down": {"down": True},
        }
        for label, fault in cases.items():
            with cluster(1, 12) as running:
                running.set_platform_faults(**fault)
                running.run(45)
                self.assert_all_alive(running)
                running.seeds = ["n0", "n1"]
                running.start("n12")
                running.run(4)
                self.assert_all_alive(running)
                node = running.nodes["n1"]
                count = len(node.members.targets("permits"))
                self.assertEqual(13, count, label)

    def test_list_with_all_instances_leaving_is_not_applied_at_once(self):
        with cluster(1, 16) as running:
            running.publish(list(running.nodes), tuple(running.nodes))
            running.run(30)
            for node in running.nodes.values():
                self.assertEqual(16, len(node.members.targets("permits")))

    def test_dead_unlisted_members_are_removed(self):
        with cluster(1) as running:
            for name in ("n1", "n2", "n3"):
                running.kill(name)
            running.run(60)
            for node in running.nodes.values():
                self.assertIn("n3", node.members.entries)
            running.publish([*running.nodes, "n1", "n2"])
            running.run(650)
            for node in running.nodes.values():
                self.assertNotIn("n3", node.members.entries)
                self.assertIn("n2", node.members.entries)

    def test_rolling_restart_of_three_nodes_at_a_time(self):
        for seed in SEEDS:
            with cluster(seed, 12) as running:
                names = list(running.nodes)
                for start in range(0, 12, 3):
                    batch = names[start : start + 3]
                    for name in batch:
                        running.kill(name)
                    running.run(2)
                    for name in batch:
                        running.start(name)
                    running.run(6)
                    self.assert_all_alive(running)

    def test_lost_and_delayed_frames_make_no_member_dead(self):
        faults = memlink.FrameFaults(
            lost=0.02, doubled=0.02, delayed=0.05, longest_delay_s=0.3
        )
        for seed in SEEDS:
            with cluster(seed, 12, faults) as running:
                for _ in range(40):
                    running.run(1)
                    for node in running.nodes.values():
                        self.assertNotIn("DEAD", node.states().values())
