"""Admission of offers by ejection, subject to the floor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinedoor_node import owner
from sardinedoor_node.health import worker
from sardinedoor_node.picking import floor

if TYPE_CHECKING:
    from sardinedoor_node.health import monitor
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store
    from sardinedoor_schema.generated import wire


class EjectionGate(owner.Gate):
    """Refuses offers to ejected workers, unless the floor keeps them in."""

    def __init__(
        self,
        health: monitor.HealthMonitor,
        members: table.MemberTable,
        settings_store: store.SettingsStore,
    ):
        """Stores the collaborators.

        Args:
            health: Health of the node's workers.
            members: Source of the other targets of a service.
            settings_store: Source of the floor of a service, the number of
                workers that ejections leave in rotation at least.
        """
        self._health = health
        self._members = members
        self._store = settings_store

    def admits(self, offer: wire.Offer) -> bool:
        """See base class.

        An ingress that doesn't know of the ejection yet is refused only if
        the floor permits the ejection in this node's view as well.
        """
        rotation = worker.Rotation(offer.rotation)
        if self._health.admits(offer.worker, rotation, offer.idempotent):
            return True
        if rotation is worker.Rotation.TRIAL:
            return False
        return self._is_kept_by_floor(offer.service, offer.worker)

    def _is_kept_by_floor(self, service: str, name: str) -> bool:
        settings = self._store.services.get(service)
        if settings is None:
            return True
        targets = self._members.targets(service)
        ejected = {t.worker: 1.0 for t in targets if t.ejected}
        ejected[name] = 1.0
        workers = {t.worker for t in targets} | {name}
        partition = floor.split(workers, ejected, settings.floor)
        return name not in partition.out

    def annotate_load(self, name: str, load: wire.Load) -> None:
        """See base class."""
        standing = self._health.advertised_health(name)
        load.ejected = standing.ejected
        load.weight_percent = max(1, round(100 * standing.weight))
        load.trial_ms = int(1000 * standing.trial_delay_s)
