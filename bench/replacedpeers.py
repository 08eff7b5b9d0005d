"""Links and memory of a node whose peers are replaced.

Prints both after each thousand of peers, of which a hundred exist at a time and
nothing listens at their addresses: python -m bench.replacedpeers
"""

from __future__ import annotations

import asyncio
import os
import pathlib
from unittest import mock

from sardinedoor_node import metrics
from sardinedoor_node.link import zeromq

_PEERS = 5_000
_PEERS_AT_ONCE = 100
_MIB = 1024 * 1024


def _resident_bytes() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


async def _replace_peers() -> None:
    transport = zeromq.ZeromqTransport("a", metrics.Metrics())
    try:
        for number in range(1, _PEERS + 1):
            transport.connect(f"peer-{number}", "127.0.0.1:7")
            if number % _PEERS_AT_ONCE == 0:
                # Lets the tasks of closed links end.
                await asyncio.sleep(0.01)
                if number % 1_000 == 0:
                    links = len(transport._peers)
                    memory_mib = _resident_bytes() / _MIB
                    print(f"{number:6} {links:6} {memory_mib:8.1f}")
                transport.close_idle()
    finally:
        await transport.close()


def main() -> None:
    """Prints one line for each thousand of peers."""
    print(" peers  links  resident MiB")
    with mock.patch.object(zeromq, "_IDLE_TIMEOUT_S", 0.0):
        asyncio.run(_replace_peers())


if __name__ == "__main__":
    main()
