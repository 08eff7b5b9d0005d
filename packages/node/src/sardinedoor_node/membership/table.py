"""The members a node knows of."""

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

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import wire

logger = logging.getLogger(__name__)

Entry = entries.Entry
Target = targets.Target
Narrow = Callable[[str, list[Target]], list[Target]]

TOMBSTONE_S = 900.0
UNHEARD_S = 900.0
FORGET_S = 86_400.0


@dataclasses.dataclass(slots=True)
class _Tombstone:
    record: wire.MemberState
    expires: float


class MemberTable(directory.Directory):
    """Members that are listed or were heard of, and the node itself."""

    def __init__(self, own: wire.Member, time: clock.Clock | None = None):
        """Starts with the node itself as only member.

        Args:
            own: The node's own record.
            time: Clock for ages.
        """
        self._own = own
        self._clock = time or clock.SystemClock()
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._index = targets.TargetIndex()
        self._buckets = [0] * records.BUCKETS
        self._news: list[Callable[[str], None]] = []
        self._listeners: list[Callable[[Entry], None]] = []
        self._narrow: Narrow = lambda service, found: found
        self.stale = False
        self.heard(own)

    @property
    def own(self) -> wire.Member:
        """The node's own record."""
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
        """Digest of what nodes must agree on."""
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

    def on_news(self, listener: Callable[[str], None]) -> None:
        """Registers a call, by name, for records that others should hear."""
        self._news.append(listener)

    def on_change(self, listener: Callable[[Entry], None]) -> None:
        """Registers a call for each changed entry."""
        self._listeners.append(listener)

    def peers(self) -> list[Entry]:
        """Lists all members but the node itself."""
        return [e for e in self._entries.values() if e.name != self._own.name]

    def targets(self, service: str) -> list[Target]:
        """See base class; these are the workers that usable members own."""
        return self._narrow(service, self._index.targets(service))

    def peer(self, name: str) -> directory.Peer | None:
        """See base class."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        run = entry.incarnation
        if entry.member is not None:
            run = entry.member.incarnation
        return directory.Peer(entry.name, entry.link, run)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        """See base class; the word of an earlier run says nothing."""
        entry = self._entries.get(peer.name)
        if entry is not None and entry.incarnation == peer.incarnation:
            self.mark_leaving(peer.name, "refused as leaving")

    def narrow_by(self, narrow: Narrow) -> None:
        """Sets what narrows the targets of each service."""
        self._narrow = narrow

    def record(self, name: str) -> wire.MemberState | None:
        """Returns what to tell others of a member, None for nothing."""
        entry = self._entries.get(name)
        if entry is not None and entry.incarnation:
            return records.from_entry(entry)
        tombstone = self._tombstones.get(name)
        return tombstone.record if tombstone else None

    def in_buckets(self, numbers: Iterable[int]) -> list[wire.MemberState]:
        """Lists the records of some buckets."""
        wanted = set(numbers)
        if not wanted:
            return []
        return [
            records.from_entry(entry)
            for entry in self._entries.values()
            if entry.incarnation and records.bucket(entry.name) in wanted
        ]

    def list_instance(self, instance: platform.Instance) -> Entry:
        """Notes that the platform names an instance; adds it if unknown."""
        entry = self._entries.get(instance.name)
        if entry is None:
            entry = self._add(instance.name, instance.link)
            entry.failure_domain = instance.failure_domain
        elif not entry.incarnation:
            entry.link = instance.link
        entry.listed = True
        return entry

    def set_instances(self, instances: list[platform.Instance]) -> None:
        """Takes a list of instances; members are added, none removed."""
        for instance in instances:
            entry = self.list_instance(instance)
            if instance.state == "leaving":
                self.mark_leaving(entry.name, "listed as leaving")

    def mark_leaving(self, name: str, reason: str) -> None:
        """Notes that this run of a member is leaving; it stays so."""
        entry = self._entries.get(name)
        if entry is None or entry.leaving:
            return
        if name == self._own.name:
            self._own.leaving = True
        entry.leaving = True
        entry.reason = reason
        self._changed(entry, bool(entry.incarnation))

    def set_reachable(self, name: str, reachable: bool, reason: str) -> None:
        """Notes whether this node's messages get through to a member."""
        entry = self._entries.get(name)
        if entry is None or entry.reachable == reachable:
            return
        entry.reachable = reachable
        entry.reason = reason
        self._changed(entry, False)

    def heard(self, member: wire.Member) -> None:
        """Takes a member's whole record, from itself or from a peer."""
        self.apply(records.from_member(member), "heard from it")
        self.complete(member)

    def complete(self, member: wire.Member) -> bool:
        """Takes the record of a member that was heard of.

        Args:
            member: The record as any peer gave it.

        Returns:
            False if another one was advertised since.
        """
        entry = self._entries.get(member.name)
        if entry is None or records.body_digest(member) != entry.digest:
            return False
        if entry.name != self._own.name:
            member = msgspec.structs.replace(member, leaving=entry.leaving)
        _intern(member)
        entry.member = member
        entry.held = entry.digest
        entry.link = member.link
        entry.failure_domain = member.failure_domain
        self._changed(entry, False)
        return True

    def apply(self, record: wire.MemberState, reason: str) -> bool:
        """Takes a record if it is news.

        Args:
            record: What a peer, or this node's own probing, says.
            reason: Shown with the member's state.

        Returns:
            True if it changed what is believed.
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
        if not records.is_news(record, entry):
            return False
        self._tombstones.pop(record.name, None)
        self._take(entry, record, reason)
        return True

    def remove(self, name: str, reason: str) -> None:
        """Removes a dead member here and everywhere."""
        entry = self._entries[name]
        if not entry.incarnation:
            del self._entries[name]
            return
        record = records.from_entry(entry)
        record.state = int(membership.State.REMOVED)
        self.apply(record, reason)

    def expire(self) -> None:
        """Forgets what has been dead, unheard or removed for long."""
        now = self._clock.monotonic()
        for name, tombstone in list(self._tombstones.items()):
            if tombstone.expires <= now:
                del self._tombstones[name]
        for entry in list(self._entries.values()):
            limit_s = FORGET_S if entry.incarnation else UNHEARD_S
            if not entry.alive and now - entry.changed_at > limit_s:
                self.remove(entry.name, "dead for long")

    def announce(self) -> None:
        """Raises the version of the own record and tells everyone."""
        own = self._own
        own.version += 1
        entry = self._entries[own.name]
        entry.version = own.version
        entry.epoch = own.epoch
        entry.leaving = own.leaving
        entry.digest = entry.held = records.body_digest(own)
        self._index.drop(own.name)
        self._changed(entry, True)

    def _add(self, name: str, link: str) -> Entry:
        entry = Entry(name, link, changed_at=self._clock.monotonic())
        self._entries[name] = entry
        return entry

    def _take(
        self, entry: Entry, record: wire.MemberState, reason: str
    ) -> None:
        same_run = entry.incarnation == record.incarnation
        newer = (record.version, record.state) > (entry.version, entry.state)
        entry.leaving = record.leaving or (same_run and entry.leaving)
        if not same_run or newer:
            self._take_body_digest(entry, record)
            if not same_run:
                entry.restarted = bool(entry.incarnation)
            entry.incarnation = record.incarnation
            entry.epoch = record.epoch
            entry.version = record.version
            entry.state = membership.State(record.state)
            entry.alive = record.state < membership.State.DEAD
        if not same_run:
            entry.reachable = True
            entry.run_since = self._clock.monotonic()
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
        self._changed(entry, True)

    def _take_body_digest(self, entry: Entry, record: wire.MemberState) -> None:
        same_run = entry.incarnation == record.incarnation
        entry.digest = record.digest
        if record.digest != entry.held and not same_run:
            entry.member = None
            entry.held = b""
        elif entry.member is not None and entry.name != self._own.name:
            entry.member.incarnation = record.incarnation
            entry.member.epoch = record.epoch
            entry.member.version = record.version

    def _apply_own(self, record: wire.MemberState) -> bool:
        own = self._own
        if record.incarnation != own.incarnation:
            entry = self._entries[own.name]
            if not entry.restarted:
                entry.restarted = True
                entry.run_since = self._clock.monotonic()
            if (record.epoch, record.incarnation) < (
                own.epoch,
                own.incarnation,
            ):
                return False
            # An earlier run whose clock was ahead: this run must be later.
            own.epoch = record.epoch + 1
            self.announce()
            return True
        if record.leaving and not own.leaving:
            self.mark_leaving(own.name, "a peer says so")
        if record.state == membership.State.ALIVE:
            return False
        if record.version < own.version:
            return False
        logger.info("suspicion refuted", extra={"version": record.version})
        own.version = record.version
        self.announce()
        return True

    def _remove(self, entry: Entry, record: wire.MemberState) -> bool:
        if not records.is_news(record, entry):
            return False
        expires = self._clock.monotonic() + TOMBSTONE_S
        self._tombstones[entry.name] = _Tombstone(record, expires)
        del self._entries[entry.name]
        entry.state = membership.State.REMOVED
        entry.alive = False
        self._buckets[records.bucket(entry.name)] ^= entry.hash
        self._index.drop(entry.name)
        self._notify(entry, True)
        return True

    def _changed(self, entry: Entry, news: bool) -> None:
        number = records.bucket(entry.name)
        self._buckets[number] ^= entry.hash
        entry.hash = records.entry_hash(entry)
        self._buckets[number] ^= entry.hash
        if entry.usable and entry.member is not None:
            self._index.put(entry.member)
        else:
            self._index.drop(entry.name)
        self._notify(entry, news)

    def _notify(self, entry: Entry, news: bool) -> None:
        for listener in self._listeners:
            listener(entry)
        if news:
            for call in self._news:
                call(entry.name)


def _intern(member: wire.Member) -> None:
    """Shares names that stand in many records."""
    for worker in member.workers:
        worker.name = sys.intern(worker.name)
        worker.service = sys.intern(worker.service)


def _is_later(record: wire.MemberState, removed: wire.MemberState) -> bool:
    return (record.epoch, record.incarnation, record.version) > (
        removed.epoch,
        removed.incarnation,
        removed.version,
    )
