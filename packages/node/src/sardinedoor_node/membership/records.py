"""Order and digests of member records.

A state record (`wire.MemberState`) is what gossip carries of a member; a full
record (`wire.Member`) adds its address and workers.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import membership
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.membership import table

BUCKET_COUNT = 64
HASH_BYTES = 8
_ENCODER = msgspec.msgpack.Encoder()


def hash64(data: bytes) -> int:
    """Hashes bytes to 64 bits; the result is the same on all nodes."""
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=HASH_BYTES).digest(), "big"
    )


def bucket(name: str) -> int:
    """Returns the number of the bucket to which a member's name belongs."""
    return hash64(name.encode()) % BUCKET_COUNT


def content_digest(member: wire.Member) -> bytes:
    """Digests a full record without its incarnation, order and leaving flag.

    A restart with the same address and workers keeps the digest, so that
    peers needn't fetch the record again.
    """
    content = wire.Member(
        name=member.name,
        incarnation=b"",
        link=member.link,
        failure_domain=member.failure_domain,
        region=member.region,
        workers=member.workers,
    )
    return hash64(_ENCODER.encode(content)).to_bytes(HASH_BYTES, "big")


def entry_hash(entry: table.Entry) -> int:
    """Hashes the replicated part of an entry.

    Returns:
        The hash; 0 for a member of which no record was received.
    """
    if not entry.incarnation:
        return 0
    header = (
        entry.epoch.to_bytes(8, "big")
        + entry.version.to_bytes(8, "big")
        + bytes((entry.state, entry.leaving))
    )
    return hash64(
        header + entry.incarnation + entry.digest + entry.name.encode()
    )


def from_entry(entry: table.Entry) -> wire.MemberState:
    """Returns the state record that gossip sends of a member."""
    return wire.MemberState(
        name=entry.name,
        incarnation=entry.incarnation,
        epoch=entry.epoch,
        version=entry.version,
        state=int(entry.state),
        leaving=entry.leaving,
        digest=entry.digest,
    )


def from_member(member: wire.Member) -> wire.MemberState:
    """Returns the state record that a full record implies."""
    return wire.MemberState(
        name=member.name,
        incarnation=member.incarnation,
        epoch=member.epoch,
        version=member.version,
        state=int(membership.State.ALIVE),
        leaving=member.leaving,
        digest=content_digest(member),
    )


def supersedes(record: wire.MemberState, entry: table.Entry) -> bool:
    """Returns whether a state record replaces or adds to an entry.

    A later incarnation has a higher epoch. Within an incarnation a higher
    version replaces a lower one, and at equal versions the worse state wins.
    A member that is leaving stays so until its next incarnation.
    """
    received = (record.epoch, record.incarnation)
    known = (entry.epoch, entry.incarnation)
    if received != known:
        return not entry.incarnation or received > known
    if record.leaving and not entry.leaving:
        return True
    return (record.version, record.state) > (entry.version, entry.state)
