"""Signals of a process that is asked to stop more than once."""

from __future__ import annotations

import asyncio
import signal


def ignore(*numbers: signal.Signals) -> None:
    """Ignores signals from here to the end of the process.

    A loop that closes gives its handlers back, and then the default action
    would end the process before its exit code is set.

    Args:
        numbers: Signals that the running loop handles.
    """
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
