"""Finds free addresses, and the process that owns a TCP port."""

from __future__ import annotations

import os
import pathlib
import random
import socket

_LOOPBACK = "127.0.0.1"
_PORTS = (10_000, 32_000)
_TCP_TABLE = pathlib.Path("/proc/net/tcp")
_LOCAL_FIELD = 1
_INODE_FIELD = 9


def free_addresses(count: int) -> list[str]:
    """Finds loopback addresses that are free now.

    The ports lie below those that the kernel gives to outgoing connections,
    so that none is taken before its process binds it.
    """
    found: list[socket.socket] = []
    try:
        while len(found) < count:
            candidate = socket.socket()
            found.append(candidate)
            try:
                candidate.bind((_LOOPBACK, random.randrange(*_PORTS)))
            except OSError:
                found.remove(candidate)
                candidate.close()
        return [f"{_LOOPBACK}:{s.getsockname()[1]}" for s in found]
    finally:
        for s in found:
            s.close()


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


def owner_of_port(port: int, pids: dict[int, str]) -> str:
    """Finds which process has a connection from a local port.

    Args:
        port: The local port of the connection.
        pids: Names by process id; only these are searched.

    Returns:
        The name, or an empty string.
    """
    inode = _inode(port)
    if not inode:
        return ""
    link = f"socket:[{inode}]"
    for pid, name in pids.items():
        if link in _descriptors(pid):
            return name
    return ""


def _inode(port: int) -> str:
    suffix = f":{port:04X}"
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[_LOCAL_FIELD].endswith(suffix):
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
