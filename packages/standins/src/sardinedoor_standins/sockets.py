"""Finds free addresses."""

from __future__ import annotations

import fcntl
import os
import pathlib
import random
import socket
import tempfile

_LOOPBACK = "127.0.0.1"
_PORTS = (10_000, 32_000)


class _PortLocks:
    """Locks one byte of a file for each port that was given away.

    The locks last as long as the process, and keep test runs side by side
    from giving the same port to two processes that haven't bound it yet.
    """

    def __init__(self) -> None:
        self._held: set[int] = set()
        path = pathlib.Path(tempfile.gettempdir()) / "sardinedoor-ports"
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)

    def take(self, port: int) -> bool:
        """Locks a port; False if this or another process holds it."""
        if port in self._held:
            return False
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        self._held.add(port)
        return True


_locks = _PortLocks()


def free_addresses(count: int, host: str = _LOOPBACK) -> list[str]:
    """Finds loopback addresses that are free now.

    The ports lie below those that the kernel gives to outgoing connections,
    and none is given twice, so that each is still free when the process it is
    meant for binds it.

    Args:
        count: How many.
        host: An IP number of the loopback range.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randrange(*_PORTS)
        if _locks.take(port) and _is_free(host, port):
            addresses.append(f"{host}:{port}")
    return addresses


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
