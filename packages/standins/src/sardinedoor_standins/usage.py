"""Reads the resource usage of processes: CPU time, memory, TCP traffic."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
import subprocess
import time

_PID = re.compile(r"pid=(\d+)")
_COUNTER = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")
HEADER_BYTES = 52
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class Usage:
    """Resource usage of one process.

    Attributes:
        at: Time of the reading on the monotonic clock, in s.
        cpu_s: CPU time since the start of the process, in s.
        rss_bytes: Resident memory, in bytes.
        sent_bytes: Bytes sent over the TCP sockets that are open now, with
            TCP/IP headers.
        received_bytes: Bytes received over these sockets, with headers.
        sockets: Number of these sockets.
    """

    at: float = 0.0
    cpu_s: float = 0.0
    rss_bytes: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    sockets: int = 0


def read(pids: list[int]) -> dict[int, Usage]:
    """Reads the usage of processes.

    Args:
        pids: Process ids.

    Returns:
        The usage by process id.
    """
    usages = {pid: _read_process(pid) for pid in pids}
    lines = subprocess.run(
        ["ss", "-tnpiH"], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    for head, detail in zip(lines[::2], lines[1::2], strict=False):
        owner = _PID.search(head)
        if owner is None or int(owner[1]) not in usages:
            continue
        usage = usages[int(owner[1])]
        counters = {k: int(v) for k, v in _COUNTER.findall(detail)}
        headers_out = counters.get("segs_out", 0) * HEADER_BYTES
        headers_in = counters.get("segs_in", 0) * HEADER_BYTES
        usage.sockets += 1
        usage.sent_bytes += counters.get("bytes_sent", 0) + headers_out
        usage.received_bytes += counters.get("bytes_received", 0) + headers_in
    return usages


def _read_process(pid: int) -> Usage:
    folder = pathlib.Path(f"/proc/{pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(
        at=time.monotonic(),
        cpu_s=ticks / _TICKS_PER_S,
        rss_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
    )
