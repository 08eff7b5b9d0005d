"""Allocates free TCP addresses for processes under test."""

from __future__ import annotations

import fcntl
import os
import pathlib
import random
import socket
import tempfile

_LOOPBACK = "127.0.0.1"
_PORT_RANGE = (10_000, 32_000)


class _PortLocks:
    """Locks one byte of a file for each allocated port.

    The locks last as long as the process. They prevent concurrent test runs
    from allocating a port that another run has allocated but not bound yet.
    """

    def __init__(self) -> None:
        self._locked_ports: set[int] = set()
        path = pathlib.Path(tempfile.gettempdir()) / "sardinedoor-ports"
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)

    def acquire(self, port: int) -> bool:
        """Locks a port; returns False if it is locked already."""
        if port in self._locked_ports:
            return False
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        self._locked_ports.add(port)
        return True


_port_locks = _PortLocks()


def free_addresses(count: int, host: str = _LOOPBACK) -> list[str]:
    """Allocates free loopback addresses.

    The ports lie below the kernel's range of ephemeral ports, and none is
    allocated twice, so that a port is still free when a process binds it.

    Args:
        count: Number of addresses.
        host: IP address in the loopback range.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randrange(*_PORT_RANGE)
        if _port_locks.acquire(port) and _is_free(host, port):
            addresses.append(f"{host}:{port}")
    return addresses


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
