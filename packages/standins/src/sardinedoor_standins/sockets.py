"""Finds free addresses, and the process that owns a TCP port."""

from __future__ import annotations

import fcntl
import os
import pathlib
import random
import socket
import tempfile

_LOOPBACK = "127.0.0.1"
_PORTS = (10_000, 32_000)
_TCP_TABLE = pathlib.Path("/proc/net/tcp")
_LOCAL_FIELD = 1
_REMOTE_FIELD = 2
_INODE_FIELD = 9
_NO_INODE = "0"


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


def free_addresses(count: int) -> list[str]:
    """Finds loopback addresses that are free now.

    The ports lie below those that the kernel gives to outgoing connections,
    and none is given twice, so that each is still free when the process it is
    meant for binds it.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.randrange(*_PORTS)
        if _locks.take(port) and _is_free(port):
            addresses.append(f"{_LOOPBACK}:{port}")
    return addresses


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True


def write_pid(folder: pathlib.Path, name: str, pid: int) -> None:
    """Records the process of a node."""
    (folder / f"{name}.pid").write_text(str(pid))


def read_pids(folder: pathlib.Path) -> dict[int, str]:
    """Reads the recorded processes, by process id."""
    pids = {}
    for path in folder.glob("*.pid"):
        text = path.read_text()
        if text:
            pids[int(text)] = path.stem
    return pids


def owner_of_connection(port: int, remote: int, pids: dict[int, str]) -> str:
    """Finds which process has a connection.

    Args:
        port: The local port of the connection.
        remote: The port that it leads to.
        pids: Names by process id; only these are searched.

    Returns:
        The name, or an empty string.
    """
    inode = _inode(port, remote)
    if not inode:
        return ""
    link = f"socket:[{inode}]"
    for pid, name in pids.items():
        if link in _descriptors(pid):
            return name
    return ""


def _inode(port: int, remote: int) -> str:
    ends = (f":{port:04X}", f":{remote:04X}")
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if not fields[_LOCAL_FIELD].endswith(ends[0]):
            continue
        if not fields[_REMOTE_FIELD].endswith(ends[1]):
            continue
        # Closed connections that wait out their time belong to nobody.
        if fields[_INODE_FIELD] != _NO_INODE:
            return fields[_INODE_FIELD]
    return ""


def _descriptors(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    links = set()
    try:
        names = os.listdir(folder)
    except OSError:
        return links
    for name in names:
        try:
            links.add(os.readlink(f"{folder}/{name}"))
        except OSError:
            continue
    return links
