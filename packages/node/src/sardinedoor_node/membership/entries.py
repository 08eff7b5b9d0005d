"""What a node knows of one member."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node import membership

if TYPE_CHECKING:
    from sardinedoor_schema.generated import wire


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of one member.

    Attributes:
        incarnation: Empty until the member was heard of by its own words.
        reachable: Whether this node's own messages get through.
        listed: Whether the platform's list named it when last read.
        digest: Of the newest whole record that was advertised.
        held: Digest of the whole record at hand, in `member`.
        restarted: Whether an earlier run under this name was known.
        run_since: When this run was first heard of, on this node's clock.
        changed_at: When the state last changed, on this node's clock.
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
    held: bytes = b""
    reason: str = "not heard of yet"
    changed_at: float = 0.0
    restarted: bool = False
    run_since: float = 0.0
    hash: int = 0

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
        """Whether another whole record was advertised than the one at hand."""
        return self.alive and self.digest != self.held
