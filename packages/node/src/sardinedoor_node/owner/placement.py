"""Placement of idempotency keys: the home worker of a key, and since when."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.util import digests
from sardinedoor_node.util import rendezvous

if TYPE_CHECKING:
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock

# Time that a changed list of workers takes at most to reach all nodes. Within
# it, a key may still run at its former home.
CHANGE_GUARD_MS = 10_000
_MAX_CHANGES = 8


@dataclasses.dataclass(slots=True)
class _FormerList:
    """A former list of workers of a service and the time it was replaced."""

    ended_ms: int
    workers: list[str]


class KeyPlacement:
    """Maps each key to its home, the one worker that runs requests with it.

    The home is chosen by rendezvous hashing over the workers that the settings
    list. After a change of the list, a key may still run at its former home
    until all nodes have the new settings. A node that has just started doesn't
    know when the list last changed until a peer reports the list's age.
    """

    def __init__(self, settings_store: store.SettingsStore, time: clock.Clock):
        """Subscribes to the settings.

        Args:
            settings_store: Source of the settings in force.
            time: The clock.
        """
        self._store = settings_store
        self._clock = time
        self._workers: dict[str, list[str]] = {}
        self._former_lists: dict[str, list[_FormerList]] = {}
        self._history_from_ms: dict[str, int] = {}
        self._in_force_since_ms: dict[str, int] = {}
        settings_store.on_change(self._on_settings_change)
        self._on_settings_change()

    def home_worker(self, service: str, scope: bytes) -> str | None:
        """Returns the home of a key.

        Args:
            service: The service.
            scope: Digest from `ledger.scope_digest`.

        Returns:
            Name of the worker; None if the service is unknown.
        """
        settings = self._store.services.get(service)
        if settings is None:
            return None
        return rendezvous.highest_ranked(scope, settings.workers)

    def home_since_ms(self, service: str, scope: bytes, worker: str) -> int:
        """Returns the time since which only its home can have run a key.

        Args:
            service: The service.
            scope: Digest from `ledger.scope_digest`.
            worker: Name of the current home.

        Returns:
            Unix time in ms.
        """
        since_ms = self._history_from_ms[service]
        for former in self._former_lists.get(service, []):
            if rendezvous.highest_ranked(scope, former.workers) != worker:
                since_ms = max(since_ms, former.ended_ms + CHANGE_GUARD_MS)
        return since_ms

    def has_known_history(self, service: str) -> bool:
        """Returns whether the history of the list covers a key made now."""
        history_from_ms = self._history_from_ms.get(service)
        return history_from_ms is not None and self._now_ms() >= history_from_ms

    def list_digest(self, service: str) -> bytes:
        """Returns the digest of the list of workers in force."""
        names = sorted(self._workers.get(service, []))
        return digests.of_parts(name.encode() for name in names)

    def list_age_ms(self, service: str) -> int:
        """Returns for how long, in ms, the list is known to be in force."""
        now_ms = self._now_ms()
        return max(0, now_ms - self._in_force_since_ms.get(service, now_ms))

    def merge_peer_age(self, service: str, digest: bytes, age_ms: int) -> None:
        """Extends the known age of the list by a peer's report.

        Args:
            service: The service.
            digest: Digest of the peer's list; reports on other lists are
                ignored.
            age_ms: For how long the peer knows its list to be in force, in
                ms.
        """
        if service not in self._workers or digest != self.list_digest(service):
            return
        in_force_since_ms = self._now_ms() - age_ms
        in_force_since_ms = min(
            in_force_since_ms, self._in_force_since_ms[service]
        )
        self._in_force_since_ms[service] = in_force_since_ms
        if not self._former_lists.get(service):
            history_from_ms = in_force_since_ms + CHANGE_GUARD_MS
            self._history_from_ms[service] = min(
                self._history_from_ms[service], history_from_ms
            )

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _on_settings_change(self) -> None:
        now_ms = self._now_ms()
        for service, settings in self._store.services.items():
            previous = self._workers.get(service)
            self._workers[service] = settings.workers
            if previous is None:
                self._history_from_ms[service] = now_ms + CHANGE_GUARD_MS
                self._in_force_since_ms[service] = now_ms
            elif set(previous) != set(settings.workers):
                self._record_change(service, _FormerList(now_ms, previous))

    def _record_change(self, service: str, former: _FormerList) -> None:
        former_lists = self._former_lists.setdefault(service, [])
        former_lists.append(former)
        self._in_force_since_ms[service] = former.ended_ms
        if len(former_lists) > _MAX_CHANGES:
            oldest = former_lists.pop(0)
            history_from_ms = oldest.ended_ms + CHANGE_GUARD_MS
            self._history_from_ms[service] = max(
                self._history_from_ms[service], history_from_ms
            )
