"""Replication of settings under faults, in virtual time."""

from __future__ import annotations

import contextlib

import testtools

from sardinedoor_standins import memcluster

NODES = 8
JOIN_S = 8.0
REPLICATION_S = 4.0
TEAM = "office"


def text(slots: int, team: str = TEAM) -> str:
    """Builds a subtree with a number of slots."""
    return (
        f"[team]\nname = {team}\n[service {team}-s]\nworkers = n0-w\n"
        f"slots = {slots}\n"
    )


@contextlib.contextmanager
def cluster(seed: int = 1, count: int = NODES):
    """Runs nodes with one revision in force.

    Checks at the end that no node went back to a lower revision.
    """
    running = memcluster.Cluster(seed)
    with running.timeline.closing():
        running.edit(TEAM, text(1))
        running.start_many(count)
        running.run(JOIN_S)
        yield running
    assert_revisions_increase(running)


def assert_revisions_increase(running: memcluster.Cluster) -> None:
    """Checks that each run of a node accepted increasing revisions only."""
    newest: dict[tuple[int, str], int] = {}
    for accepted in running.applied_revisions:
        key = (accepted.run, accepted.team)
        assert accepted.revision > newest.get(key, 0), accepted
        newest[key] = accepted.revision


class ReplicationTest(testtools.TestCase):
    def assert_in_force(self, running, revision, team=TEAM):
        seen = {n.name: n.store.revision(team) for n in running.nodes.values()}
        self.assertEqual(dict.fromkeys(running.nodes, revision), seen)

    def test_edit_is_in_force_everywhere(self):
        for seed in (1, 2, 3):
            with cluster(seed, 24) as running:
                revision = running.edit(TEAM, text(2))
                running.run(REPLICATION_S)
                self.assert_in_force(running, revision)
                self.assertEqual(2 * 24, len(running.applied_revisions))

    def test_last_of_two_quick_edits_is_in_force(self):
        for pause_s in (0.0, 0.03, 0.2):
            with cluster() as running:
                running.edit(TEAM, text(2))
                running.run(pause_s)
                revision = running.edit(TEAM, text(3))
                running.run(REPLICATION_S)
                self.assert_in_force(running, revision)

    def test_invalid_edit_is_refused_by_all_nodes_and_by_a_restarted_one(self):
        with cluster() as running:
            valid = running.nodes["n0"].store.revision(TEAM)
            invalid = running.edit(TEAM, "[broken")
            running.run(REPLICATION_S)
            running.set_platform_faults(down=True)
            running.seeds = ["n0", "n1"]
            running.kill("n3")
            running.start("n3")
            running.run(REPLICATION_S)
            self.assert_in_force(running, valid)
            for node in running.nodes.values():
                self.assertEqual(invalid, node.store.refused[TEAM][0])
                self.assertTrue(node.serving)

    def test_faults_of_one_team_leave_other_teams_unaffected(self):
        huge = text(1, "huge") + "#" * (1024 * 1024)
        for body in ("[broken", huge):
            with cluster() as running:
                running.edit("huge", body)
                revision = running.edit(TEAM, text(2))
                running.run(REPLICATION_S)
                self.assert_in_force(running, revision)
                self.assert_in_force(running, 0, "huge")

    def test_platform_faults_never_restore_an_older_revision(self):
        for fault in ("stale", "split", "down"):
            with cluster() as running:
                running.set_platform_faults(**{fault: True})
                revision = running.edit(TEAM, text(2))
                running.run(REPLICATION_S)
                if fault == "split":
                    running.run(60)
                    self.assert_in_force(running, revision)
                else:
                    self.assert_in_force(running, revision - 1)
                running.set_platform_faults()
                running.run(90)
                self.assert_in_force(running, revision)

    def test_platform_restored_from_an_old_backup_is_ignored(self):
        with cluster() as running:
            running.set_platform_faults(stale=True)
            revision = running.edit(TEAM, text(2))
            running.set_platform_faults()
            running.run(60)
            self.assert_in_force(running, revision)
            running.board.live.subtrees[TEAM].revision = 1
            running.board.live.settings_index = 1
            for name in list(running.nodes):
                running.kill(name)
                running.start(name)
                running.run(6)
            self.assert_in_force(running, revision)
            behind = [
                n.reads.reader.teams_behind for n in running.nodes.values()
            ]
            self.assertIn([TEAM], behind)

    def test_rolling_restart_during_a_platform_outage(self):
        for fault in ("down", "stale"):
            with cluster(1, 4) as running:
                if fault == "stale":
                    running.set_platform_faults(stale=True)
                    running.set_platform_faults()
                    running.board._stale_view.subtrees.clear()
                revision = running.edit(TEAM, text(2))
                running.run(REPLICATION_S)
                running.set_platform_faults(**{fault: True})
                running.seeds = ["n0", "n1"]
                for name in list(running.nodes):
                    running.kill(name)
                    running.run(2)
                    running.start(name)
                    running.run(5 * 60)
                    self.assertTrue(running.nodes[name].serving, name)
                self.assert_in_force(running, revision)

    def test_fresh_node_with_only_a_stale_platform_does_not_serve(self):
        with cluster() as running:
            running.set_platform_faults(stale=True)
            running.set_platform_faults()
            old = running.board._stale_view
            revision = running.edit(TEAM, text(2))
            running.run(REPLICATION_S)
            running.set_platform_faults(stale=True)
            running.board._stale_view = old
            rest = [name for name in running.nodes if name != "n3"]
            running.kill("n3")
            running.cut(rest, ["n3"], 60)
            running.cut(["n3"], rest, 60)
            running.start("n3")
            running.run(50)
            self.assertFalse(running.nodes["n3"].serving)
            running.run(60)
            self.assertTrue(running.nodes["n3"].serving)
            self.assert_in_force(running, revision)

    def test_node_catches_up_after_a_pause(self):
        with cluster() as running:
            running.nodes["n2"].loop.freeze(30)
            for slots in (2, 3):
                revision = running.edit(TEAM, text(slots))
                running.run(10)
            running.run(10 + REPLICATION_S)
            self.assert_in_force(running, revision)

    def test_cold_start_without_platform_recovers(self):
        running = memcluster.Cluster(1)
        with running.timeline.closing():
            running.set_platform_faults(down=True)
            revision = running.edit(TEAM, text(1))
            running.start_many(NODES)
            running.run(60)
            for node in running.nodes.values():
                self.assertFalse(node.serving)
                self.assertIn("neither", node.boot.state)
            running.set_platform_faults()
            running.run(60)
            self.assert_in_force(running, revision)
            self.assertTrue(all(n.serving for n in running.nodes.values()))

    def test_node_joins_through_seeds_while_the_platform_is_down(self):
        with cluster() as running:
            running.set_platform_faults(down=True)
            running.seeds = ["n0", "n1"]
            running.start("n8")
            running.run(5)
            self.assertTrue(running.nodes["n8"].serving)
            self.assert_in_force(
                running, running.nodes["n0"].store.revision(TEAM)
            )
            self.assertEqual(8, len(running.nodes["n8"].states()))

    def test_other_nodes_read_the_platform_if_the_readers_are_dead(self):
        with cluster(1, 16) as running:
            readers = [
                n.name
                for n in running.nodes.values()
                if n.reads.election.is_reader()
            ]
            self.assertEqual(8, len(readers))
            for name in readers:
                running.kill(name)
            running.run(10)
            revision = running.edit(TEAM, text(2))
            running.run(REPLICATION_S)
            self.assert_in_force(running, revision)

    def test_rate_of_calls_to_the_platform_is_bounded(self):
        with cluster(1, 24) as running:

            def calls_per_s(seconds: float) -> float:
                nodes = running.nodes.values()
                before = sum(n.reads.client.calls for n in nodes)
                running.run(seconds)
                after = sum(n.reads.client.calls for n in nodes)
                return (after - before) / seconds

            running.run(30)
            watches = 2 * 2 * memcluster.DOMAINS
            self.assertLessEqual(calls_per_s(60), watches / 30 + 0.1)
            running.set_platform_faults(down=True)
            running.run(300)
            most = 2 * 6 * memcluster.DOMAINS
            self.assertLessEqual(calls_per_s(60), most / 15)
            running.set_platform_faults()
            self.assertLessEqual(calls_per_s(10), most / 10 + 1)
