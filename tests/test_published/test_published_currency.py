"""Nodes have each change within its bound, whichever peers are out of reach."""

from __future__ import annotations

import testtools

from sardinedoor_node.published import follower
from sardinedoor_node.util import rendezvous
from sardinedoor_standins import publishedsim

_APPLY_S = 2.0
_WARM_UP_S = 12.0
_SEEDS = range(4)


def _readers(
    simulation: publishedsim.Simulation,
) -> list[publishedsim.Node]:
    """Returns the nodes that are elected as readers of their domains."""
    by_domain: dict[str, list[str]] = {}
    for node in simulation.nodes:
        by_domain.setdefault(node.failure_domain, []).append(node.link)
    elected = {
        name
        for domain, names in by_domain.items()
        for name in rendezvous.ranked(domain.encode(), names)[
            : follower.READERS_PER_DOMAIN
        ]
    }
    return [node for node in simulation.nodes if node.link in elected]


class CurrencyTest(testtools.TestCase):
    def _check_change(
        self, simulation: publishedsim.Simulation, message: object
    ) -> None:
        """Publishes a change and checks that all nodes take it in time."""
        version = simulation.change()
        simulation.run(_APPLY_S)
        self.assertEqual([], simulation.behind(version), message)

    def test_nodes_cut_off_from_their_peers_read_the_store_in_time(self):
        """They were behind for up to twice the bound."""
        for seed in _SEEDS:
            simulation = publishedsim.Simulation(27, 3, _APPLY_S, seed)
            with simulation.timeline.closing():
                simulation.run(_WARM_UP_S + simulation.rng.random())
                simulation.cut(simulation.rng.sample(simulation.nodes, 5))
                for number in range(6):
                    self._check_change(simulation, (seed, number))
                    simulation.run(simulation.rng.uniform(0.0, 2.0))

    def test_failure_domain_whose_readers_freeze_is_current(self):
        for seed in _SEEDS:
            simulation = publishedsim.Simulation(27, 3, _APPLY_S, seed)
            with simulation.timeline.closing():
                simulation.run(_WARM_UP_S + simulation.rng.random())
                frozen = _readers(simulation)
                for node in frozen:
                    node.loop.freeze(60.0)
                others = [n for n in simulation.nodes if n not in frozen]
                calls = simulation.store.calls
                for number in range(6):
                    version = simulation.change()
                    simulation.run(_APPLY_S)
                    behind = [n.link for n in others if n.version < version]
                    self.assertEqual([], behind, (seed, number))
                # Not all of the others read whenever one of them is to.
                calls = simulation.store.calls - calls
                self.assertLess(calls, 6 * len(others))

    def test_entries_without_a_node_leave_no_domain_without_readers(self):
        """An elected entry without a node kept the domain from reading."""
        for seed, entries in enumerate((0, 40, 1_000)):
            simulation = publishedsim.Simulation(6, 1, _APPLY_S, seed)
            with simulation.timeline.closing():
                simulation.run(_WARM_UP_S)
                for number in range(entries):
                    simulation.publish(f"x{number}", 1_000 + number, "d0")
                for number in range(6):
                    self._check_change(simulation, (seed, number))
                    simulation.run(simulation.rng.uniform(0.0, 2.0))

    def test_quiet_domain_is_read_by_its_readers_alone(self):
        simulation = publishedsim.Simulation(27, 3, _APPLY_S, 1)
        with simulation.timeline.closing():
            simulation.run(_WARM_UP_S)
            calls = simulation.store.calls
            simulation.run(20.0)
            calls_per_s = (simulation.store.calls - calls) / 20.0
            watch_s = follower.ReadTimes.within(_APPLY_S).watch_s
            self.assertLess(calls_per_s, 1.25 * 6 / watch_s)
