"""Narrows targets to the workers that the settings name."""

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
class _Narrowed:
    source: list[targets.Target]
    service: settings.ServiceSettings
    kept: list[targets.Target]


class ConfiguredWorkers:
    """Drains workers that an edit takes out of their service's list."""

    def __init__(self, settings_store: store.SettingsStore):
        """Starts with nothing narrowed.

        Args:
            settings_store: The settings in force.
        """
        self._store = settings_store
        self._narrowed: dict[str, _Narrowed] = {}

    def has(self, service: str, worker: str) -> bool:
        """Tells whether a worker may get work; True for unknown services."""
        found = self._store.services.get(service)
        return found is None or worker in found.workers

    def narrow(
        self, service: str, found: list[targets.Target]
    ) -> list[targets.Target]:
        """Keeps the targets that the settings name.

        Args:
            service: Name of the service.
            found: Its targets; the same list object until they change.

        Returns:
            The targets kept, as the same list object until something changes.
        """
        in_force = self._store.services.get(service)
        if in_force is None:
            return found
        last = self._narrowed.get(service)
        if (
            last is None
            or last.source is not found
            or last.service is not in_force
        ):
            names = frozenset(in_force.workers)
            kept = [target for target in found if target.worker in names]
            last = _Narrowed(found, in_force, kept)
            self._narrowed[service] = last
        return last.kept

    def follow(self, local: Iterable[workers.LocalWorker]) -> None:
        """Marks the node's own workers as drained, now and at each edit."""

        def mark() -> None:
            for worker in local:
                worker.drained = not self.has(worker.service, worker.name)

        self._store.on_change(mark)
