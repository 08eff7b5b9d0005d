"""The member table of a node."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import logging
import sys
from typing import TYPE_CHECKING

import msgspec

from sardinedoor_node import directory
from sardinedoor_node import membership
from sardinedoor_node.membership import entries
from sardinedoor_node.membership import records
from sardinedoor_node.membership import targets
from sardinedoor_node.util import clock
from sardinedoor_node.util import listeners

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node import metrics
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)

Entry = entries.Entry
Target = targets.Target
TargetFilter = Callable[[str, list[Target]], list[Target]]

TOMBSTONE_TTL_S = 900.0
UNREPORTED_TTL_S = 900.0
DEAD_TTL_S = 86_400.0


@dataclasses.dataclass(slots=True)
class _Tombstone:
    record: wire.MemberState
    expires_at: float


class MemberTable(directory.Directory):
    """All members known from records or the platform, and the node itself.

    Attributes:
        stale: Whether the table may be outdated after a pause of the process;
            until it is refreshed, the prober reports no member as suspect
            or dead.
    """

    def __init__(
        self,
        own: wire.Member,
        time: clock.Clock | None = None,
        counters: metrics.Metrics | None = None,
    ):
        """Creates a table with the node itself as the only member.

        Args:
            own: The node's own full record; the table updates it in place.
            time: Clock; None for the system clock.
            counters: Counts the failures of listeners.
        """
        self._own = own
        self._clock = time or clock.SystemClock()
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._index = targets.TargetIndex()
        self._buckets = [0] * records.BUCKET_COUNT
        self._gossip_listeners = listeners.ListenerGroup("gossip due", counters)
        self._listeners = listeners.ListenerGroup("member changed", counters)
        self._filter_targets: TargetFilter = lambda service, found: found
        self.stale = False
        self.apply_member(own)

    @property
    def own(self) -> wire.Member:
        """The node's own full record."""
        return self._own

    @property
    def own_name(self) -> str:
        """See base class."""
        return self._own.name

    @property
    def entries(self) -> dict[str, Entry]:
        """All known members by name."""
        return self._entries

    @property
    def digest(self) -> bytes:
        """Digest of the replicated part of all entries."""
        total = 0
        for value in self._buckets:
            total ^= value
        return total.to_bytes(records.HASH_BYTES, "big")

    @property
    def buckets(self) -> bytes:
        """Digest of each bucket, concatenated."""
        return b"".join(
            value.to_bytes(records.HASH_BYTES, "big") for value in self._buckets
        )

    def on_gossip_due(self, listener: Callable[[str], None]) -> None:
        """Registers a listener for updates that must be gossiped.

        Args:
            listener: Called with the name of the updated member.
        """
        self._gossip_listeners.add(listener)

    def on_change(self, listener: Callable[[Entry], None]) -> None:
        """Registers a listener for changes of entries.

        Args:
            listener: Called with each entry that was changed or removed.
        """
        self._listeners.add(listener)

    def peers(self) -> list[Entry]:
        """Lists all members but the node itself."""
        return [e for e in self._entries.values() if e.name != self._own.name]

    def targets(self, service: str) -> list[Target]:
        """See base class; lists the filtered workers of usable members."""
        return self._filter_targets(service, self._index.targets(service))

    def peer(self, name: str) -> directory.Peer | None:
        """See base class."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        incarnation = entry.incarnation
        if entry.member is not None:
            incarnation = entry.member.incarnation
        return directory.Peer(entry.name, entry.link, incarnation)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        """See base class; a refusal by an earlier incarnation is ignored."""
        entry = self._entries.get(peer.name)
        if entry is not None and entry.incarnation == peer.incarnation:
            self.mark_leaving(peer.name, "refused as leaving")

    def set_target_filter(self, target_filter: TargetFilter) -> None:
        """Sets the filter applied to the targets of each service."""
        self._filter_targets = target_filter

    def state_record(self, name: str) -> wire.MemberState | None:
        """Returns the state record to gossip of a member, if there is one."""
        entry = self._entries.get(name)
        if entry is not None and entry.incarnation:
            return records.from_entry(entry)
        tombstone = self._tombstones.get(name)
        return tombstone.record if tombstone else None

    def records_in_buckets(
        self, numbers: Iterable[int]
    ) -> list[wire.MemberState]:
        """Lists the state records of the members in some buckets."""
        selected = set(numbers)
        if not selected:
            return []
        return [
            records.from_entry(entry)
            for entry in self._entries.values()
            if entry.incarnation and records.bucket(entry.name) in selected
        ]

    def mark_listed(self, instance: platform.Instance) -> Entry:
        """Marks an instance that the platform lists, adding it if unknown."""
        entry = self._entries.get(instance.name)
        if entry is None:
            entry = self._add(instance.name, instance.link)
            entry.failure_domain = instance.failure_domain
        elif not entry.incarnation:
            entry.link = instance.link
        entry.listed = True
        return entry

    def apply_instances(self, instances: list[platform.Instance]) -> None:
        """Applies the platform's list; adds members, but removes none."""
        for instance in instances:
            entry = self.mark_listed(instance)
            if instance.state == "leaving":
                self.mark_leaving(entry.name, "listed as leaving")

    def mark_leaving(self, name: str, reason: str) -> None:
        """Marks a member as leaving, until its next incarnation."""
        entry = self._entries.get(name)
        if entry is None or entry.leaving:
            return
        if name == self._own.name:
            self._own.leaving = True
        entry.leaving = True
        entry.reason = reason
        self._entry_changed(entry, bool(entry.incarnation))

    def set_reachable(self, name: str, reachable: bool, reason: str) -> None:
        """Sets whether a member acks the pings of this node."""
        entry = self._entries.get(name)
        if entry is None or entry.reachable == reachable:
            return
        entry.reachable = reachable
        entry.reason = reason
        self._entry_changed(entry, False)

    def apply_member(self, member: wire.Member) -> None:
        """Applies a full record: the state that it implies, then the rest."""
        self.apply_state(records.from_member(member), "reported by itself")
        self.store_member(member)

    def store_member(self, member: wire.Member) -> bool:
        """Stores the full record of a member whose digest is known.

        Args:
            member: The full record, from any peer.

        Returns:
            False if its digest isn't the advertised one.
        """
        entry = self._entries.get(member.name)
        if entry is None or records.content_digest(member) != entry.digest:
            return False
        if entry.name != self._own.name:
            member = msgspec.structs.replace(member, leaving=entry.leaving)
        _intern(member)
        entry.member = member
        entry.member_digest = entry.digest
        entry.link = member.link
        entry.failure_domain = member.failure_domain
        self._entry_changed(entry, False)
        return True

    def apply_state(self, record: wire.MemberState, reason: str) -> bool:
        """Applies a state record if it supersedes the entry.

        Args:
            record: The state record, from a peer or the node's own prober.
            reason: Stored as the reason for the member's state.

        Returns:
            True if it changed the table.
        """
        if record.name == self._own.name and self._entries:
            return self._apply_own(record)
        tombstone = self._tombstones.get(record.name)
        if tombstone is not None and not _is_later(record, tombstone.record):
            return False
        entry = self._entries.get(record.name)
        if record.state == membership.State.REMOVED:
            return entry is not None and self._remove(entry, record)
        if entry is None:
            entry = self._add(record.name, "")
        if not records.supersedes(record, entry):
            return False
        self._tombstones.pop(record.name, None)
        self._update(entry, record, reason)
        return True

    def remove(self, name: str, reason: str) -> None:
        """Removes a dead member; gossip removes it on all other nodes.

        A member of which no record was received is removed only here.
        """
        entry = self._entries[name]
        if not entry.incarnation:
            del self._entries[name]
            return
        record = records.from_entry(entry)
        record.state = int(membership.State.REMOVED)
        self.apply_state(record, reason)

    def remove_expired(self) -> None:
        """Removes the tombstones and dead members whose time to live is over.

        Members of which no record was ever received have a shorter one.
        """
        now = self._clock.monotonic()
        for name, tombstone in list(self._tombstones.items()):
            if tombstone.expires_at <= now:
                del self._tombstones[name]
        for entry in list(self._entries.values()):
            ttl_s = DEAD_TTL_S if entry.incarnation else UNREPORTED_TTL_S
            if not entry.alive and now - entry.changed_at > ttl_s:
                self.remove(entry.name, "time to live is over")

    def announce(self) -> None:
        """Increments the version of the node's own record and gossips it."""
        own = self._own
        own.version += 1
        entry = self._entries[own.name]
        entry.version = own.version
        entry.epoch = own.epoch
        entry.leaving = own.leaving
        entry.digest = entry.member_digest = records.content_digest(own)
        self._index.remove(own.name)
        self._entry_changed(entry, True)

    def _add(self, name: str, link: str) -> Entry:
        entry = Entry(name, link, changed_at=self._clock.monotonic())
        self._entries[name] = entry
        return entry

    def _update(
        self, entry: Entry, record: wire.MemberState, reason: str
    ) -> None:
        same_incarnation = entry.incarnation == record.incarnation
        newer = (record.version, record.state) > (entry.version, entry.state)
        entry.leaving = record.leaving or (same_incarnation and entry.leaving)
        if not same_incarnation or newer:
            self._update_digest(entry, record)
            if not same_incarnation:
                entry.restarted = bool(entry.incarnation)
            entry.incarnation = record.incarnation
            entry.epoch = record.epoch
            entry.version = record.version
            entry.state = membership.State(record.state)
            entry.alive = record.state < membership.State.DEAD
        if not same_incarnation:
            entry.reachable = True
            entry.incarnation_seen_at = self._clock.monotonic()
        entry.reason = reason
        entry.changed_at = self._clock.monotonic()
        level = logging.INFO if entry.state else logging.DEBUG
        logger.log(
            level,
            "member",
            extra={
                "member": entry.name,
                "state": entry.state.name,
                "leaving": entry.leaving,
                "reason": reason,
            },
        )
        self._entry_changed(entry, True)

    def _update_digest(self, entry: Entry, record: wire.MemberState) -> None:
        same_incarnation = entry.incarnation == record.incarnation
        entry.digest = record.digest
        if record.digest != entry.member_digest and not same_incarnation:
            entry.member = None
            entry.member_digest = b""
        elif entry.member is not None and entry.name != self._own.name:
            entry.member.incarnation = record.incarnation
            entry.member.epoch = record.epoch
            entry.member.version = record.version

    def _apply_own(self, record: wire.MemberState) -> bool:
        """Applies a peer's record of this node, refuting any suspicion."""
        own = self._own
        if record.incarnation != own.incarnation:
            entry = self._entries[own.name]
            if not entry.restarted:
                entry.restarted = True
                entry.incarnation_seen_at = self._clock.monotonic()
            if (record.epoch, record.incarnation) < (
                own.epoch,
                own.incarnation,
            ):
                return False
            # The record is of an earlier incarnation whose clock was ahead.
            # This incarnation needs a higher epoch to supersede it.
            own.epoch = record.epoch + 1
            self.announce()
            return True
        if record.leaving and not own.leaving:
            self.mark_leaving(own.name, "reported as leaving by a peer")
        if record.state == membership.State.ALIVE:
            return False
        if record.version < own.version:
            return False
        logger.info("suspicion refuted", extra={"version": record.version})
        own.version = record.version
        self.announce()
        return True

    def _remove(self, entry: Entry, record: wire.MemberState) -> bool:
        if not records.supersedes(record, entry):
            return False
        expires_at = self._clock.monotonic() + TOMBSTONE_TTL_S
        self._tombstones[entry.name] = _Tombstone(record, expires_at)
        del self._entries[entry.name]
        entry.state = membership.State.REMOVED
        entry.alive = False
        self._buckets[records.bucket(entry.name)] ^= entry.record_hash
        self._index.remove(entry.name)
        self._notify(entry, True)
        return True

    def _entry_changed(self, entry: Entry, gossip_due: bool) -> None:
        number = records.bucket(entry.name)
        self._buckets[number] ^= entry.record_hash
        entry.record_hash = records.entry_hash(entry)
        self._buckets[number] ^= entry.record_hash
        if entry.usable and entry.member is not None:
            self._index.replace(entry.member)
        else:
            self._index.remove(entry.name)
        self._notify(entry, gossip_due)

    def _notify(self, entry: Entry, gossip_due: bool) -> None:
        self._listeners.notify(entry)
        if gossip_due:
            self._gossip_listeners.notify(entry.name)


def _intern(member: wire.Member) -> None:
    """Interns worker and service names, which many records repeat."""
    for worker in member.workers:
        worker.name = sys.intern(worker.name)
        worker.service = sys.intern(worker.service)


def _is_later(record: wire.MemberState, removed: wire.MemberState) -> bool:
    return (record.epoch, record.incarnation, record.version) > (
        removed.epoch,
        removed.incarnation,
        removed.version,
    )
