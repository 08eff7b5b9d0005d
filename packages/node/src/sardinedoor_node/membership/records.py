"""Identity, order and digests of member records."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import membership
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node.membership import table

BUCKETS = 64
HASH_BYTES = 8
_ENCODER = msgspec.msgpack.Encoder()


def hash64(data: bytes) -> int:
    """Hashes bytes to 64 bits, the same on all nodes."""
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=HASH_BYTES).digest(), "big"
    )


def bucket(name: str) -> int:
    """Returns the bucket that a member's name belongs to."""
    return hash64(name.encode()) % BUCKETS


def body_digest(member: wire.Member) -> bytes:
    """Digests what doesn't change when the same instance restarts."""
    body = wire.Member(
        name=member.name,
        incarnation=b"",
        link=member.link,
        failure_domain=member.failure_domain,
        region=member.region,
        workers=member.workers,
    )
    return hash64(_ENCODER.encode(body)).to_bytes(HASH_BYTES, "big")


def entry_hash(entry: table.Entry) -> int:
    """Hashes what nodes must agree on about a member; 0 if not yet heard."""
    if not entry.incarnation:
        return 0
    fixed = (
        entry.epoch.to_bytes(8, "big")
        + entry.version.to_bytes(8, "big")
        + bytes((entry.state, entry.leaving))
    )
    return hash64(
        fixed + entry.incarnation + entry.digest + entry.name.encode()
    )


def from_entry(entry: table.Entry) -> wire.MemberState:
    """Returns the record to tell others."""
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
    """Returns the record that a member's own words stand for."""
    return wire.MemberState(
        name=member.name,
        incarnation=member.incarnation,
        epoch=member.epoch,
        version=member.version,
        state=int(membership.State.ALIVE),
        leaving=member.leaving,
        digest=body_digest(member),
    )


def is_news(record: wire.MemberState, entry: table.Entry) -> bool:
    """Tells whether a record replaces or adds to what is believed.

    A later run of a member has a higher epoch. Within a run a higher version
    replaces a lower one, and at the same version the worse state wins.
    Leaving never ends within a run.
    """
    run = (record.epoch, record.incarnation)
    known = (entry.epoch, entry.incarnation)
    if run != known:
        return not entry.incarnation or run > known
    if record.leaving and not entry.leaving:
        return True
    return (record.version, record.state) > (entry.version, entry.state)
