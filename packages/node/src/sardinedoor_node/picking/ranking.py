"""Subsetting of targets by rendezvous hashing of their nodes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sardinedoor_node.membership import table

_HASH_BYTES = 8


def rank(ingress: str, node: str) -> int:
    """Returns the rendezvous hash of a node; lower ranks are preferred.

    The rank does not depend on the service, so that the subsets of all
    services prefer the same nodes and share their links.

    Args:
        ingress: Name of the ingress's node.
        node: Name of the node to rank.
    """
    key = f"{ingress}\0{node}".encode()
    digest = hashlib.blake2b(key, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def subset(
    targets: Sequence[table.Target],
    size: int,
    local_size: int,
    is_local: Callable[[table.Target], bool],
    rank_of: Callable[[str], int],
) -> list[table.Target]:
    """Returns the subset of targets that an ingress uses.

    Args:
        targets: Targets of a service in rotation.
        size: Size of the subset; all targets are used if there are fewer.
        local_size: Number of local targets in the subset; missing ones are
            replaced by remote ones and vice versa.
        is_local: Returns whether a target is in the ingress's failure domain.
        rank_of: Returns the rank of a node; lower ranks are preferred.

    Returns:
        The subset, local targets first.
    """
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda t: (rank_of(t.node), t.worker))
    local = [t for t in ranked if is_local(t)][:local_size]
    remote = [t for t in ranked if not is_local(t)][: size - len(local)]
    if len(local) + len(remote) < size:
        local = [t for t in ranked if is_local(t)][: size - len(remote)]
    return local + remote
