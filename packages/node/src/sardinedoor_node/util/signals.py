"""Handling of signals during the shutdown of a process."""

from __future__ import annotations

import asyncio
import signal


def ignore(*numbers: signal.Signals) -> None:
    """Ignores signals until the process exits.

    When the event loop closes, it restores the default actions of the signals
    that it handled. A repeated signal would then kill the process before it
    exits with its own exit code.

    Args:
        numbers: Signals that the running loop handles.
    """
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
