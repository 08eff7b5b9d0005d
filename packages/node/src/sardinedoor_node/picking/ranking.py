"""Which nodes an ingress prefers, for all services alike."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sardinedoor_node.membership import table

_HASH_BYTES = 8


def rank(ingress: str, node: str) -> int:
    """Returns a node's rank for an ingress; lower is preferred.

    The rank depends on no service, so that the subsets of all services
    prefer the same nodes and share links.
    """
    text = f"{ingress}\0{node}".encode()
    found = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(found, "big")


def subset(
    targets: Sequence[table.Target],
    size: int,
    domain_size: int,
    is_near: Callable[[table.Target], bool],
    order: Callable[[str], int],
) -> list[table.Target]:
    """Chooses the targets that an ingress uses.

    Args:
        targets: Targets of a service in rotation.
        size: How many to choose; fewer targets are all chosen.
        domain_size: How many of them come from near nodes, if there are.
        is_near: Tells whether a target is in the ingress's failure domain.
        order: Rank of a node.

    Returns:
        The chosen targets; near ones first.
    """
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda t: (order(t.node), t.worker))
    near = [t for t in ranked if is_near(t)][:domain_size]
    far = [t for t in ranked if not is_near(t)][: size - len(near)]
    if len(near) + len(far) < size:
        near = [t for t in ranked if is_near(t)][: size - len(far)]
    return near + far
