"""Lets health decide on offers, and tells ingresses of it."""

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


class Gate(owner.Gate):
    """Admits offers to the node's own workers by their health."""

    def __init__(
        self,
        health: monitor.HealthMonitor,
        members: table.MemberTable,
        settings_store: store.SettingsStore,
    ):
        """Remembers its parts.

        Args:
            health: Health of the node's workers.
            members: Tells which other targets a service has.
            settings_store: Tells the floor.
        """
        self._health = health
        self._members = members
        self._store = settings_store

    def admits(self, offer: wire.Offer) -> bool:
        """Tells whether a worker takes an offer.

        An ingress that knows of no ejection is refused only where the floor
        allows the ejection, also by this node's view.
        """
        rotation = worker.Rotation(offer.rotation)
        if self._health.admits(offer.worker, rotation, offer.idempotent):
            return True
        if rotation is worker.Rotation.TRIAL:
            return False
        return self._is_held(offer.service, offer.worker)

    def _is_held(self, service: str, name: str) -> bool:
        settings = self._store.services.get(service)
        if settings is None:
            return True
        targets = self._members.targets(service)
        troubled = {t.worker: 1.0 for t in targets if t.ejected}
        troubled[name] = 1.0
        live = {t.worker for t in targets} | {name}
        split = floor.split(live, troubled, settings.floor)
        return name not in split.out

    def describe(self, name: str, load: wire.Load) -> None:
        """Adds a worker's health to what ingresses hear of its load."""
        standing = self._health.standing(name)
        load.ejected = standing.ejected
        load.weight_percent = max(1, round(100 * standing.weight))
        load.trial_ms = int(1000 * standing.trial_in_s)
