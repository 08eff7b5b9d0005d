"""Exit codes of the node process, and what it prints before it exits."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys
import tempfile

import testtools

from sardinedoor_node import main
from sardinedoor_standins import sockets

_EXIT_TIMEOUT_S = 20


def _run_node(text: str) -> subprocess.CompletedProcess:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "node.ini"
        path.write_text(text)
        return subprocess.run(
            [sys.executable, "-m", "sardinedoor_node.main", "--settings", path],
            capture_output=True,
            text=True,
            timeout=_EXIT_TIMEOUT_S,
            check=False,
        )


def _settings(**changes: str) -> str:
    keys = ("public", "internal", "link", "admin", "platform")
    values = dict(zip(keys, sockets.free_addresses(5), strict=True))
    values |= {"name": "n", "region": "r", "failure_domain": "f", **changes}
    return "[node]\n" + "".join(f"{k} = {v}\n" for k, v in values.items())


class ExitCodeTest(testtools.TestCase):
    def test_settings_faults_are_printed_before_anything_listens(self):
        completed = _run_node(_settings(public="127.0.0.1:0", drain_ms="x"))
        self.assertEqual(main.EXIT_SETTINGS, completed.returncode)
        lines = completed.stderr.splitlines()
        self.assertEqual(1, len([line for line in lines if "drain_ms" in line]))
        self.assertEqual("", completed.stdout)

    def test_an_address_in_use_exits_with_3(self):
        for key in ("public", "internal", "link", "admin"):
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                completed = _run_node(_settings(**{key: address}))
            self.assertEqual(
                main.EXIT_LISTEN, completed.returncode, completed.stderr
            )
            self.assertIn("can't listen", completed.stderr)
