"""Tests of the client commands against a running node."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile

import testtools
from typer import testing

from sardinedoor_cli import exits
from sardinedoor_cli import main
from sardinedoor_standins import fleet

_SETTINGS = """
[team]
name = licensing
[service permits]
workers = permits-0, permits-9
floor = 1
[route permits]
service = permits
path = /permits
visibility = public
[route prices]
service = permits
path = /prices
"""


class OnlineTest(testtools.TestCase):
    def test_status_and_explain_of_running_node(self):
        workers = [fleet.WorkerPlan(f"permits-{n}", "permits") for n in (0, 1)]
        node = fleet.NodePlan("n0", "attica", "a", workers)
        plan = fleet.Plan([node], {"licensing": _SETTINGS})
        with tempfile.TemporaryDirectory() as folder:
            running_fleet = fleet.Fleet(plan, pathlib.Path(folder))
            try:
                asyncio.run(running_fleet.start())
                self._check(node.admin)
            finally:
                running_fleet.close()

    def _run(self, *arguments: str):
        return testing.CliRunner().invoke(main.app, list(arguments))

    def _check(self, address: str) -> None:
        node = ("--node", address)
        finished = self._run("status", *node)
        self.assertEqual(exits.Exit.FINE, finished.exit_code, finished.output)
        for text in ("Node n0: serving", "licensing", "permits-1", "drained"):
            self.assertIn(text, finished.output)
        decoded = json.loads(self._run("status", "--json", *node).stdout)
        drained = {w["worker"]: w["drained"] for w in decoded["workers"]}
        self.assertEqual({"permits-0": False, "permits-1": True}, drained)

        finished = self._run(
            "explain", "get", "/permits/7?x=1", "--json", *node
        )
        self.assertEqual(exits.Exit.FINE, finished.exit_code, finished.output)
        decoded = json.loads(finished.stdout)
        self.assertTrue(decoded["idempotent"])
        reasons = {c["worker"]: c["reason"] for c in decoded["candidates"]}
        self.assertEqual(
            {
                "permits-0": "in rotation",
                "permits-1": "the settings don't name it",
                "permits-9": "no node says that it owns it",
            },
            reasons,
        )
        rows = (
            (("GET", "/prices"), "2010"),
            (("GET", "/prices", "--internal"), ""),
            (("GET", "/nowhere"), "2010"),
            (("TRACE", "/permits"), "2011"),
            (("GET", "/permits/%zz"), "2001"),
        )
        for arguments, code in rows:
            finished = self._run("explain", *arguments, *node)
            expected = exits.Exit.NEGATIVE if code else exits.Exit.FINE
            self.assertEqual(expected, finished.exit_code, finished.output)
            self.assertIn(code, finished.output)

    def test_unreachable_node_has_its_own_exit_code(self):
        finished = self._run("status", "--node", "127.0.0.1:1")
        self.assertEqual(exits.Exit.UNREACHABLE, finished.exit_code)
