"""Exit codes of the daemon."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys
import tempfile

import testtools

from sardinedoor_node import main
from sardinedoor_standins import sockets

_TIMEOUT_S = 20


def _run(text: str) -> subprocess.CompletedProcess:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.ini"
        path.write_text(text)
        return subprocess.run(
            [sys.executable, "-m", "sardinedoor_node.main", "--settings", path],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )


def _settings(**changes: str) -> str:
    keys = ("public", "internal", "link", "admin", "platform")
    values = dict(zip(keys, sockets.free_addresses(5), strict=True))
    values |= {"name": "n", "region": "r", "failure_domain": "f", **changes}
    return "[node]\n" + "".join(f"{k} = {v}\n" for k, v in values.items())


class ExitCodeTest(testtools.TestCase):
    def test_all_faults_are_printed_before_anything_listens(self):
        done = _run(_settings(public="127.0.0.1:0", drain_ms="x"))
        self.assertEqual(main.EXIT_SETTINGS, done.returncode)
        lines = done.stderr.splitlines()
        self.assertEqual(1, len([x for x in lines if "drain_ms" in x]))
        self.assertEqual("", done.stdout)

    def test_an_address_in_use(self):
        for key in ("public", "internal", "link", "admin"):
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                taken.listen()
                address = f"127.0.0.1:{taken.getsockname()[1]}"
                done = _run(_settings(**{key: address}))
            self.assertEqual(main.EXIT_LISTEN, done.returncode, done.stderr)
            self.assertIn("can't listen", done.stderr)
