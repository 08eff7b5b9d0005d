"""Routes of one team are replaced without touching another's."""

from __future__ import annotations

import testtools

from sardinedoor_node.ingress import routes
from sardinedoor_node.settings import tree


def subtree(team: str, revision: int, **visibility: str) -> tree.Subtree:
    """Builds a subtree with one route for each named path."""
    text = f"[team]\nname = {team}\n[service {team}]\nworkers = w\n"
    for path, visible in visibility.items():
        text += (
            f"[route {path}]\nservice = {team}\npath = /{path}\n"
            f"visibility = {visible}\n"
        )
    return tree.parse(team, revision, text).unwrap()


class ReplaceTest(testtools.TestCase):
    def test_same_as_built_anew(self):
        a = subtree("a", 1, kept="public", gone="internal", turned="internal")
        b = subtree("b", 2, other="internal")
        new = subtree("a", 3, kept="public", turned="public", added="internal")
        changed = routes.RouteTable([a, b])
        changed.replace(a, new)
        built = routes.RouteTable([new, b])
        self.assertEqual(built._routes, changed._routes)
        self.assertEqual(built._internal, changed._internal)
