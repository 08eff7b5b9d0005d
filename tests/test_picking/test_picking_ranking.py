"""Subsets of targets: locality, and links shared by services."""

from __future__ import annotations

import testtools

from sardinedoor_node.membership import table
from sardinedoor_node.picking import ranking


def _targets(service: str, nodes: int) -> list[table.Target]:
    return [
        table.Target(f"{service}-{n}", service, f"n{n}", False, f"d{n % 4}")
        for n in range(nodes)
    ]


class RankingTest(testtools.TestCase):
    def _subset(self, service, nodes, domain="d0", ingress="i"):
        return ranking.subset(
            _targets(service, nodes),
            12,
            6,
            lambda t: t.failure_domain == domain,
            lambda node: ranking.rank(ingress, node),
        )

    def test_local_targets_first_and_small_services_whole(self):
        is_local = [t.failure_domain == "d0" for t in self._subset("s", 40)]
        self.assertEqual([True] * 6 + [False] * 6, is_local)
        self.assertEqual(8, len(self._subset("s", 8)))
        # Without local targets, the subset consists of remote ones.
        self.assertEqual(12, len(self._subset("s", 40, "d9")))

    def test_services_share_nodes_and_ingresses_differ(self):
        nodes = {t.node for t in self._subset("s", 40)}
        self.assertEqual(nodes, {t.node for t in self._subset("r", 40)})
        other_nodes = {t.node for t in self._subset("s", 40, ingress="j")}
        self.assertNotEqual(nodes, other_nodes)
