"""An ignored signal doesn't end the process after its loop has closed."""

from __future__ import annotations

import subprocess
import sys

import testtools

_PROGRAM = """
import asyncio, os, signal
from sardinedoor_node.util import signals

async def run():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, print)
    signals.ignore(signal.SIGTERM)

asyncio.run(run())
os.kill(os.getpid(), signal.SIGTERM)
"""


class IgnoreTest(testtools.TestCase):
    def test_signal_after_loop_closed_is_ignored(self):
        completed = subprocess.run(
            [sys.executable, "-c", _PROGRAM], check=False
        )
        self.assertEqual(0, completed.returncode)
