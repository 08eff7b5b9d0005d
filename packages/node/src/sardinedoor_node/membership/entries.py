"""Entries of the member table."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node import membership

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one member as this node sees it.

    A member that only the platform listed has no incarnation yet.

    Attributes:
        link: IP number and port of its link listener; empty if unknown.
        member: Its full record, None until it was received.
        alive: Whether it is neither dead nor removed; suspects are alive.
        incarnation: Identifies one run of its process; empty until a record
            of the member was received.
        epoch: Orders the incarnations of one name.
        version: Orders the records of one incarnation.
        reachable: Whether it answers pings that this node sends.
        listed: Whether the platform's list named it when last applied.
        digest: Digest of the newest full record that was advertised.
        member_digest: Digest of the full record in `member`.
        reason: Why it has its present state, for status pages and logs.
        changed_at: When its record last changed, on this node's monotonic
            clock, in s.
        restarted: Whether an earlier incarnation under this name was known.
        incarnation_seen_at: When its incarnation was first seen, on this
            node's monotonic clock, in s.
        record_hash: Its part of the digest of its bucket.
    """

    name: str
    link: str
    member: wire.Member | None = None
    alive: bool = False
    leaving: bool = False
    incarnation: bytes = b""
    epoch: int = 0
    version: int = 0
    state: membership.State = membership.State.DEAD
    reachable: bool = True
    listed: bool = False
    failure_domain: str = ""
    digest: bytes = b""
    member_digest: bytes = b""
    reason: str = "no record received yet"
    changed_at: float = 0.0
    restarted: bool = False
    incarnation_seen_at: float = 0.0
    record_hash: int = 0

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to the member."""
        return (
            self.alive
            and self.reachable
            and not self.leaving
            and self.member is not None
        )

    @property
    def outdated(self) -> bool:
        """Whether the advertised full record differs from the stored one."""
        return self.alive and self.digest != self.member_digest
