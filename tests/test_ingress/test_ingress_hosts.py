"""Matching of published routes by host and longest path prefix."""

from __future__ import annotations

import testtools

from sardinedoor_node import published
from sardinedoor_node.ingress import hosts


def _route(name: str, host: str, prefix: str) -> published.Route:
    parts = [published.WeightedService("pay", 1.0)]
    return published.Route(name, host, prefix, parts, True, 1, 1, 0, 1)


class HostRoutesTest(testtools.TestCase):
    def test_longest_prefix_of_the_host_matches(self):
        routes = hosts.HostRoutes(
            published.Configuration(
                1,
                [
                    _route("root", "a.example", "/"),
                    _route("pay", "a.example", "/pay/"),
                    _route("fees", "a.example", "/pay/fees/"),
                    _route("only", "b.example", "/pay/"),
                ],
                {},
                1,
                1.0,
            )
        )
        for host, path, name in (
            ("a.example", "/", "root"),
            ("a.example", "/payments", "root"),
            ("a.example", "/pay/1", "pay"),
            ("A.Example:80", "/pay/fees/2/3", "fees"),
            ("a.example", "/pay/fees", "pay"),
            ("b.example", "/pay/", "only"),
            ("b.example", "/other/", None),
            ("c.example", "/", None),
        ):
            found = routes.match(host, path)
            self.assertEqual(name, found and found.name, (host, path))
