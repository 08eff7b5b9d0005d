"""Tests of the client commands that need no running node."""

from __future__ import annotations

import json
import pathlib
import tempfile

import testtools
from typer import testing

from sardinedoor_cli import exits
from sardinedoor_cli import main
from sardinedoor_node.settings import nodefile
from sardinedoor_schema import faults

_VALID_SETTINGS = """
[team]
name = {team}
[service {team}-desk]
workers =
    {team}-0, {team}-1,
    {team}-2
floor = 2
[route {team}]
service = {team}-desk
path = /{team}
visibility = public
"""


def run(*arguments: str):
    """Runs a client command in this process."""
    return testing.CliRunner().invoke(main.app, list(arguments))


class _SettingsTreeTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        for team in ("counters", "billing"):
            self.write(team, _VALID_SETTINGS.format(team=team))

    def write(self, team: str, text: str) -> None:
        (self.folder / f"{team}.ini").write_text(text)


class CheckTest(_SettingsTreeTestCase):
    def test_valid_tree_is_summarised(self):
        finished = run("check", str(self.folder))
        self.assertEqual(exits.Exit.FINE, finished.exit_code)
        self.assertIn("2 teams, 2 services, 2 routes", finished.output)

    def test_faults_of_all_files_are_reported_at_once(self):
        text = _VALID_SETTINGS.format(team="billing")
        self.write("billing", text.replace("floor = 2", "floor = 9\nx = 1"))
        self.write("counters", "[team\n")
        (self.folder / "odd.ini").write_bytes(b"\xff\xfe")
        finished = run("check", str(self.folder), "--json")
        self.assertEqual(exits.Exit.NEGATIVE, finished.exit_code)
        found = json.loads(finished.stdout)["faults"]
        by_file = {
            (pathlib.Path(f["file"]).name, f.get("code", 5001)) for f in found
        }
        code = faults.FaultCode
        self.assertEqual(
            {
                ("billing.ini", code.UNKNOWN_KEY),
                ("counters.ini", code.SYNTAX),
                ("odd.ini", code.UNREADABLE),
            },
            by_file,
        )

    def test_service_or_route_of_another_team_is_a_fault(self):
        text = _VALID_SETTINGS.format(team="billing")
        self.write(
            "counters", text.replace("name = billing", "name = counters")
        )
        finished = run("check", str(self.folder))
        self.assertEqual(exits.Exit.NEGATIVE, finished.exit_code)
        self.assertIn("(5003)", finished.output)
        self.assertIn("(5004)", finished.output)

    def test_missing_or_empty_folder_is_a_fault(self):
        for name in ("none", ""):
            empty = self.folder / "empty"
            empty.mkdir(exist_ok=True)
            finished = run("check", str(empty / name))
            self.assertEqual(exits.Exit.NEGATIVE, finished.exit_code)
            self.assertIn("(5006)", finished.output)


class DrainTest(_SettingsTreeTestCase):
    def test_file_is_edited_only_with_write_and_only_in_workers(self):
        path = self.folder / "billing.ini"
        before = path.read_text()
        arguments = ("drain", "billing-1", "--tree", str(self.folder))
        self.assertEqual(exits.Exit.FINE, run(*arguments).exit_code)
        self.assertEqual(before, path.read_text())
        self.assertEqual(exits.Exit.FINE, run(*arguments, "--write").exit_code)
        after = path.read_text()
        self.assertNotIn("billing-1", after)
        self.assertIn("billing-0, billing-2", after)
        self.assertEqual(before.split("floor")[1], after.split("floor")[1])
        self.assertEqual(0, run("check", str(self.folder)).exit_code)

    def test_drain_below_floor_or_of_unknown_worker_is_refused(self):
        tree = ("--tree", str(self.folder), "--write")
        self.assertEqual(0, run("drain", "billing-1", *tree).exit_code)
        rows = (("billing-0", "its floor is 2"), ("other-9", "no service"))
        for worker, reason in rows:
            finished = run("drain", worker, *tree)
            self.assertEqual(exits.Exit.NEGATIVE, finished.exit_code)
            self.assertIn(reason, finished.output)


class KeysTest(testtools.TestCase):
    def test_printed_keys_are_valid_settings(self):
        finished = run("keys", "--name", "127.0.0.1")
        self.assertEqual(exits.Exit.FINE, finished.exit_code, finished.output)
        addresses = ("public", "internal", "link", "admin", "platform")
        text = "[node]\nname = n\nregion = r\nfailure_domain = f\n"
        for port, key in enumerate(addresses, start=8001):
            text += f"{key} = 127.0.0.1:{port}\n"
        parsed = nodefile.parse("n.ini", text + finished.output)
        self.assertTrue(parsed.is_ok(), parsed)
        self.assertIn("BEGIN PRIVATE KEY", parsed.unwrap().node.tls_key)

    def test_each_run_generates_new_keys(self):
        pairs = [json.loads(run("keys", "--json").stdout) for _ in range(2)]
        self.assertNotEqual(pairs[0]["link"], pairs[1]["link"])
