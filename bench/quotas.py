"""Bytes and messages of quotas, by the size of the fleet.

Counts the frames of one second in which 1,000 of 100,000 organisations ask, encoded as on
the links; a node that is the home itself sends none.
"""

from __future__ import annotations

import random

from sardinedoor_node.organisations import accounts
from sardinedoor_node.organisations import homes
from sardinedoor_schema import frames
from sardinedoor_schema.generated import wire

_SIZES = (20, 77, 300, 4_991)
_ORGANISATIONS = 100_000
_ASKING = 1_000
# Requests per second of the whole fleet that the sheets state at 77 nodes.
_REQUESTS_PER_NODE = 1.7
_QUOTA = accounts.Quota(40, 40)


def _frame_bytes(node: str, organisation: str) -> tuple[int, int]:
    request = wire.AllowanceRequest(2**30, organisation, node, 1, 3)
    grant = wire.AllowanceGrant(2**30, granted=1)
    return len(frames.encode(request)), len(frames.encode(grant))


def measure(nodes: int) -> tuple[float, float, float]:
    """Returns messages and bytes a second of a node, and accounts at a home."""
    rng = random.Random(nodes)
    names = [f"10.{n // 65_000}.{n // 250}.{n % 250}:7" for n in range(nodes)]
    ring = homes.HomeRing()
    ring.update(names)
    asking = [f"org-{n}" for n in rng.sample(range(_ORGANISATIONS), _ASKING)]
    kept = {ring.home(organisation) for organisation in asking}
    messages = size = 0
    requests = int(_REQUESTS_PER_NODE * nodes)
    for _ in range(requests):
        node = rng.choice(names)
        organisation = rng.choice(asking)
        if ring.home(organisation) == node:
            continue
        sent, received = _frame_bytes(node, organisation)
        messages += 2
        size += sent + received
    return messages / nodes, size / nodes, _ASKING / len(kept)


def main() -> None:
    """Prints a row for each size of the fleet."""
    print("nodes  messages/s/node  bytes/s/node  accounts at a home")
    for nodes in _SIZES:
        messages, size, kept = measure(nodes)
        print(f"{nodes:5}  {messages:15.2f}  {size:12.0f}  {kept:18.1f}")


if __name__ == "__main__":
    main()
