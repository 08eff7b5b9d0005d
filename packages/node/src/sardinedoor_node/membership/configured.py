"""Filters targets by the workers that the settings list for a service."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.membership import targets
    from sardinedoor_node.owner import workers
    from sardinedoor_node.settings import store
    from sardinedoor_schema.generated import settings


@dataclasses.dataclass(slots=True)
class _CachedFilter:
    unfiltered: list[targets.Target]
    service: settings.ServiceSettings
    filtered: list[targets.Target]


class ConfiguredWorkers:
    """Excludes workers that an edit removed from their service's settings."""

    def __init__(self, settings_store: store.SettingsStore):
        """Starts with an empty cache.

        Args:
            settings_store: The settings in force.
        """
        self._store = settings_store
        self._cache: dict[str, _CachedFilter] = {}

    def allows(self, service: str, worker: str) -> bool:
        """Returns whether a worker may get work; True for unknown services."""
        in_force = self._store.services.get(service)
        return in_force is None or worker in in_force.workers

    def filter_targets(
        self, service: str, found: list[targets.Target]
    ) -> list[targets.Target]:
        """Keeps the targets whose workers the settings list.

        Args:
            service: Name of the service.
            found: Its targets; the list object is replaced when they change.

        Returns:
            The targets kept; the list object is replaced when the targets
            or the settings of the service change.
        """
        in_force = self._store.services.get(service)
        if in_force is None:
            return found
        cached = self._cache.get(service)
        if (
            cached is None
            or cached.unfiltered is not found
            or cached.service is not in_force
        ):
            names = frozenset(in_force.workers)
            filtered = [target for target in found if target.worker in names]
            cached = _CachedFilter(found, in_force, filtered)
            self._cache[service] = cached
        return cached.filtered

    def track_drained(self, local: Iterable[workers.LocalWorker]) -> None:
        """Drains the node's own workers that an edit leaves out.

        Args:
            local: The node's own workers.
        """

        def update() -> None:
            for worker in local:
                allowed = self.allows(worker.service, worker.name)
                worker.set_drained(not allowed)

        self._store.on_change(update)
