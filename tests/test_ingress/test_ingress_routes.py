"""Replacing the routes of one team keeps those of the others."""

from __future__ import annotations

import testtools

from sardinedoor_node.ingress import routes
from sardinedoor_node.settings import tree


def _subtree(team: str, revision: int, **visibility: str) -> tree.Subtree:
    """Builds the settings of a team with one route for each named path."""
    text = f"[team]\nname = {team}\n[service {team}]\nworkers = w\n"
    for path, route_visibility in visibility.items():
        text += (
            f"[route {path}]\nservice = {team}\npath = /{path}\n"
            f"visibility = {route_visibility}\n"
        )
    return tree.parse(team, revision, text).unwrap()


class RouteTableReplaceTest(testtools.TestCase):
    def test_replaced_table_equals_one_built_from_scratch(self):
        old = _subtree(
            "a", 1, kept="public", gone="internal", turned="internal"
        )
        other_team = _subtree("b", 2, other="internal")
        new = _subtree("a", 3, kept="public", turned="public", added="internal")
        replaced = routes.RouteTable([old, other_team])
        replaced.replace(old, new)
        rebuilt = routes.RouteTable([new, other_team])
        self.assertEqual(rebuilt._routes, replaced._routes)
        self.assertEqual(
            rebuilt._internal_prefixes, replaced._internal_prefixes
        )
