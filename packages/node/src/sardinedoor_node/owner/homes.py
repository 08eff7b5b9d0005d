"""Which worker is home to a key, and since when."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.util import digests
from sardinedoor_node.util import rendezvous

if TYPE_CHECKING:
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock

MOVE_GUARD_MS = 10_000
_KEPT_CHANGES = 8


@dataclasses.dataclass(slots=True)
class _Change:
    """The end of one list of workers."""

    ended_ms: int
    workers: list[str]


class Homes:
    """Homes under the settings in force, and under those before them.

    A key whose home changed may have run at its former home, also a while
    after the change: nodes learn of it at different times. A node that has
    just learned of a service can't tell how long ago its workers changed,
    until a peer tells.
    """

    def __init__(self, settings_store: store.SettingsStore, time: clock.Clock):
        """Follows the settings.

        Args:
            settings_store: The settings in force.
            time: The clock.
        """
        self._store = settings_store
        self._clock = time
        self._workers: dict[str, list[str]] = {}
        self._changes: dict[str, list[_Change]] = {}
        self._known_ms: dict[str, int] = {}
        self._in_force_ms: dict[str, int] = {}
        settings_store.on_change(self._on_change)
        self._on_change()

    def home(self, service: str, name: bytes) -> str | None:
        """Returns the worker that is home to a key.

        Args:
            service: The service.
            name: Scope of the key.

        Returns:
            The worker; None if the service isn't known.
        """
        settings = self._store.services.get(service)
        if settings is None:
            return None
        return rendezvous.highest(name, settings.workers)

    def since_ms(self, service: str, name: bytes, worker: str) -> int:
        """Tells from when on a worker alone can have run a key.

        Args:
            service: The service.
            name: Scope of the key.
            worker: The home in force.

        Returns:
            Unix time in ms.
        """
        since_ms = self._known_ms[service]
        for change in self._changes.get(service, []):
            if rendezvous.highest(name, change.workers) != worker:
                since_ms = max(since_ms, change.ended_ms + MOVE_GUARD_MS)
        return since_ms

    def settled(self, service: str) -> bool:
        """Tells whether the list's age is no reason to doubt a new key."""
        known_ms = self._known_ms.get(service)
        return known_ms is not None and self._now_ms() >= known_ms

    def digest(self, service: str) -> bytes:
        """Returns the digest of the list of workers in force."""
        names = sorted(self._workers.get(service, []))
        return digests.of_parts(name.encode() for name in names)

    def age_ms(self, service: str) -> int:
        """Tells how long the list has been in force somewhere, at least."""
        now_ms = self._now_ms()
        return max(0, now_ms - self._in_force_ms.get(service, now_ms))

    def confirm(self, service: str, digest: bytes, age_ms: int) -> None:
        """Takes a peer's word on how long the list has been in force.

        Args:
            service: The service.
            digest: Digest of the peer's list.
            age_ms: How long the peer knows that list to be in force, in ms.
        """
        if service not in self._workers or digest != self.digest(service):
            return
        in_force_ms = self._now_ms() - age_ms
        in_force_ms = min(in_force_ms, self._in_force_ms[service])
        self._in_force_ms[service] = in_force_ms
        if not self._changes.get(service):
            known_ms = in_force_ms + MOVE_GUARD_MS
            self._known_ms[service] = min(self._known_ms[service], known_ms)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _on_change(self) -> None:
        now_ms = self._now_ms()
        for service, settings in self._store.services.items():
            before = self._workers.get(service)
            self._workers[service] = settings.workers
            if before is None:
                self._known_ms[service] = now_ms + MOVE_GUARD_MS
                self._in_force_ms[service] = now_ms
            elif set(before) != set(settings.workers):
                self._remember(service, _Change(now_ms, before))

    def _remember(self, service: str, change: _Change) -> None:
        changes = self._changes.setdefault(service, [])
        changes.append(change)
        self._in_force_ms[service] = change.ended_ms
        if len(changes) > _KEPT_CHANGES:
            oldest = changes.pop(0)
            known_ms = oldest.ended_ms + MOVE_GUARD_MS
            self._known_ms[service] = max(self._known_ms[service], known_ms)
