"""Simulated store that can be restored from an older copy of its content."""

from __future__ import annotations

import asyncio
import collections

import result

from sardinedoor_node import published
from sardinedoor_schema.generated import wire

_CALL_S = 0.004


class Store:
    """Items with a single revision counter; answers reads and long polls.

    Attributes:
        calls: Number of reads and long polls so far.
        snapshots: Snapshots read so far, by the node's failure domain and link.
        watches: Long polls answered so far, by the same.
        epoch: Number of restores.
        revision: Revision of the last change.
        interruptions: Times that all calls in progress were cut.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.calls = 0
        self.snapshots: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.watches: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.epoch = 0
        self.revision = 0
        self.interruptions = 0
        self._away = False
        self._writes: list[wire.Item] = []
        self._restored_revision = 0
        self._waiting: list[
            tuple[asyncio.AbstractEventLoop, asyncio.Event]
        ] = []

    @property
    def version(self) -> published.Version:
        """Position in the history of the store."""
        return published.Version(self.epoch, self.revision)

    @property
    def away(self) -> bool:
        """Whether no node reaches the store. Calls are cut when it is set."""
        return self._away

    @away.setter
    def away(self, away: bool) -> None:
        self._away = away
        if away:
            self._interrupt()

    def put(self, key: str, value: bytes, deleted: bool = False) -> None:
        """Writes or deletes an item."""
        self.revision += 1
        self._writes.append(wire.Item(key, self.revision, value, deleted))
        self._wake()

    def restore(self, revision: int) -> list[wire.Item]:
        """Goes back to an earlier revision, and begins the next epoch.

        The history from before is gone, and all calls in progress are cut.

        Args:
            revision: Revision of the copy; at most that of the store.

        Returns:
            The writes that are lost, the oldest first.
        """
        lost = [item for item in self._writes if item.revision > revision]
        del self._writes[len(self._writes) - len(lost) :]
        self.revision = self._restored_revision = revision
        self.epoch += 1
        self._interrupt()
        return lost

    def items(self) -> dict[str, wire.Item]:
        """Returns the items that aren't deleted, by key."""
        return self._items_at(self.revision)

    def snapshot(self, stale_writes: int = 0) -> published.Update:
        """Returns all items.

        Args:
            stale_writes: Number of the last writes that are missing. No more
                than those of the current epoch are.
        """
        revision = max(self.revision - stale_writes, self._restored_revision)
        return published.Update(
            revision, list(self._items_at(revision).values()), True, self.epoch
        )

    def changes_since(
        self, version: published.Version
    ) -> result.Result[published.Update, published.ReadError]:
        """Returns the changes after a version."""
        if version.epoch < self.epoch:
            return result.Err(published.ReadError.RESTORED)
        revision = version.revision
        if not self._restored_revision <= revision <= self.revision:
            return result.Err(published.ReadError.HISTORY_GONE)
        # Revisions have no gaps, so the write of revision n is at n - 1.
        found = self._writes[revision:]
        return result.Ok(
            published.Update(self.revision, found, False, self.epoch)
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for a change, an interruption or the timeout, in s."""
        event = asyncio.Event()
        self._waiting.append((asyncio.get_running_loop(), event))
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            pass

    def _items_at(self, revision: int) -> dict[str, wire.Item]:
        latest = {item.key: item for item in self._writes[:revision]}
        return {k: item for k, item in latest.items() if not item.deleted}

    def _interrupt(self) -> None:
        self.interruptions += 1
        self._wake()

    def _wake(self) -> None:
        for loop, event in self._waiting:
            loop.call_soon(event.set)
        self._waiting.clear()


class StoreReader(published.Source):
    """One node's connection to the store.

    Attributes:
        reachable: Whether the node reaches the store.
        refused: Whether the store refuses the node's calls.
        stale_writes: Number of the last writes that are missing in snapshots.
        names_epoch: Whether answers name the epoch of the store.
    """

    def __init__(self, store: Store, name: str, failure_domain: str):
        """Creates a connection that works.

        Args:
            store: The store.
            name: Name of the node, for the counts.
            failure_domain: Failure domain of the node, for the counts.
        """
        self._store = store
        self._caller = (failure_domain, name)
        self.reachable = True
        self.refused = False
        self.stale_writes = 0
        self.names_epoch = True

    async def read(
        self, epoch: int
    ) -> result.Result[published.Update, published.ReadError]:
        """See base class."""
        error = await self._call()
        if error is not None:
            return result.Err(error)
        self._store.snapshots[self._caller] += 1
        snapshot = self._store.snapshot(self.stale_writes)
        if not self.names_epoch:
            snapshot.epoch = max(epoch, published.FIRST_EPOCH)
            snapshot.names_epoch = False
        return result.Ok(snapshot)

    async def watch(
        self, version: published.Version, wait_s: float
    ) -> result.Result[published.Update, published.ReadError]:
        """See base class."""
        error = await self._call()
        if error is not None:
            return result.Err(error)
        self._store.watches[self._caller] += 1
        found = self._changes_since(version)
        if found.is_err() or found.unwrap().items or wait_s <= 0:
            return found
        interruptions = self._store.interruptions
        await self._store.wait_for_change(wait_s)
        if not self.reachable or self._store.interruptions != interruptions:
            return result.Err(published.ReadError.UNREACHABLE)
        return self._changes_since(version)

    def _changes_since(
        self, version: published.Version
    ) -> result.Result[published.Update, published.ReadError]:
        if self.names_epoch:
            return self._store.changes_since(version)
        asked = published.Version(self._store.epoch, version.revision)
        found = self._store.changes_since(asked)
        if found.is_ok():
            found.unwrap().epoch = version.epoch
            found.unwrap().names_epoch = False
        return found

    async def _call(self) -> published.ReadError | None:
        """Returns why the call fails, None if the store answers."""
        interruptions = self._store.interruptions
        if self.reachable:
            self._store.calls += 1
        await asyncio.sleep(_CALL_S)
        if (
            not self.reachable
            or self._store.away
            or self._store.interruptions != interruptions
        ):
            return published.ReadError.UNREACHABLE
        return published.ReadError.REFUSED if self.refused else None
