"""Data that the fake platform publishes, and its fault injection."""

from __future__ import annotations

import asyncio
import copy
import dataclasses

import msgspec

from sardinedoor_schema.generated import platform

_MAX_WAIT_S = 60.0


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults of the platform.

    Attributes:
        down: Every call is refused with status 503.
        hang: No call is answered.
        stale: Answers show the data that was published when this fault was
            switched on.
        split: Every other answer is stale.
        list_emptied: The list of instances is empty.
        list_shrunk: Maximum length of the list of instances; below 0 it is
            complete.
    """

    down: bool = False
    hang: bool = False
    stale: bool = False
    split: bool = False
    list_emptied: bool = False
    list_shrunk: int = -1


@dataclasses.dataclass(slots=True)
class View:
    """Snapshot of the published settings and instances."""

    settings_index: int = 0
    subtrees: dict[str, platform.Subtree] = dataclasses.field(
        default_factory=dict
    )
    instances_index: int = 0
    domain_indexes: dict[str, int] = dataclasses.field(default_factory=dict)
    instances: dict[str, platform.Instance] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Number of calls by kind; a long poll counts as one call."""

    settings: int = 0
    subtree: int = 0
    instances: int = 0

    @property
    def total(self) -> int:
        """Number of calls of all kinds."""
        return self.settings + self.subtree + self.instances


class Board:
    """Published settings and instances, with an index raised by each change."""

    def __init__(self) -> None:
        self.live = View()
        self.calls = CallCounts()
        self.faults = Faults()
        self._stale_view = View()
        self._answer_count = 0
        self._changed = asyncio.Condition()

    async def put_subtree(self, team: str, text: str) -> platform.Subtree:
        """Publishes a new revision of a team's subtree."""
        self.live.settings_index += 1
        subtree = platform.Subtree(team, self.live.settings_index, text)
        self.live.subtrees[team] = subtree
        await self._notify()
        return subtree

    async def put_instances(self, instances: list[platform.Instance]) -> None:
        """Replaces the list of instances."""
        before = self.live.instances
        after = {i.name: i for i in instances}
        self.live.instances_index += 1
        for name in before.keys() | after.keys():
            if before.get(name) != after.get(name):
                domain = (after.get(name) or before[name]).failure_domain
                index = self.live.instances_index
                self.live.domain_indexes[domain] = index
        self.live.instances = after
        await self._notify()

    async def set_faults(self, faults: Faults) -> None:
        """Replaces the injected faults."""
        was_stale = self.faults.stale or self.faults.split
        if (faults.stale or faults.split) and not was_stale:
            self._stale_view = copy.deepcopy(self.live)
        if self.faults.list_emptied != faults.list_emptied or (
            self.faults.list_shrunk != faults.list_shrunk
        ):
            self._raise_instance_indexes()
        self.faults = faults
        await self._notify()

    def _raise_instance_indexes(self) -> None:
        self.live.instances_index += 1
        for instance in self.live.instances.values():
            domain = instance.failure_domain
            self.live.domain_indexes[domain] = self.live.instances_index

    async def restore(self) -> None:
        """Reverts the published data to the snapshot of the last stale fault.

        Indexes and revisions go back, as after a restore from a backup.
        """
        self.live = copy.deepcopy(self._stale_view)
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def view(self) -> View:
        """Returns the snapshot for the next answer: current or stale."""
        self._answer_count += 1
        if self.faults.stale or (self.faults.split and self._answer_count % 2):
            return self._stale_view
        return self.live

    def settings_index(self) -> int:
        """Returns the index of the settings."""
        is_stale = self.faults.stale
        return (self._stale_view if is_stale else self.live).settings_index

    def instances_index(self, domain: str) -> int:
        """Returns the index of the instances of a failure domain, or of all."""
        view = self._stale_view if self.faults.stale else self.live
        if not domain:
            return view.instances_index
        return view.domain_indexes.get(domain, 0)

    def instances(self, domain: str) -> list[platform.Instance]:
        """Returns the instances of a failure domain, or of all for ""."""
        if self.faults.list_emptied:
            return []
        listed = [
            instance
            for instance in self.view().instances.values()
            if domain in ("", instance.failure_domain)
        ]
        max_instances = self.faults.list_shrunk
        return listed if max_instances < 0 else listed[:max_instances]

    async def wait_settings(self, after: int, wait_s: float) -> None:
        """Waits until the settings index exceeds `after`, or `wait_s` is over."""
        await self._wait(lambda: self.settings_index() > after, wait_s)

    async def wait_instances(
        self, domain: str, after: int, wait_s: float
    ) -> None:
        """Waits until the instances index exceeds `after`, or `wait_s` is over."""
        await self._wait(lambda: self.instances_index(domain) > after, wait_s)

    async def _wait(self, ready, wait_s: float) -> None:
        try:
            async with asyncio.timeout(min(wait_s, _MAX_WAIT_S)):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: ready() or self.faults.down
                    )
        except TimeoutError:
            pass
