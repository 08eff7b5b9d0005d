"""The newest accepted subtree of each team."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sardinedoor_node.settings import tree

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_schema import ini
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import settings

logger = logging.getLogger(__name__)


class SettingsStore:
    """Takes only higher revisions, and keeps the last good subtree."""

    def __init__(self) -> None:
        self._subtrees: dict[str, tree.Subtree] = {}
        self._refused: dict[str, tuple[int, list[ini.Fault]]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._services: dict[str, settings.ServiceSettings] = {}

    @property
    def subtrees(self) -> dict[str, tree.Subtree]:
        """The subtrees in force, by team."""
        return self._subtrees

    @property
    def services(self) -> dict[str, settings.ServiceSettings]:
        """The services in force, by name."""
        return self._services

    @property
    def refused(self) -> dict[str, tuple[int, list[ini.Fault]]]:
        """Revision and faults of the newest refused subtree, by team."""
        return self._refused

    def revision(self, team: str) -> int:
        """Returns the revision in force, 0 for none."""
        subtree = self._subtrees.get(team)
        return subtree.revision if subtree else 0

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a call for each accepted change."""
        self._listeners.append(listener)

    def offer(self, body: platform.Subtree) -> bool:
        """Takes a subtree if it is newer and valid.

        Args:
            body: The subtree as the platform or a peer gave it.

        Returns:
            True if it is now in force.
        """
        if body.revision <= self.revision(body.team):
            return False
        parsed = tree.parse(body.team, body.revision, body.text)
        if parsed.is_err():
            self._refused[body.team] = (body.revision, parsed.unwrap_err())
            logger.warning(
                "settings refused",
                extra={"team": body.team, "revision": body.revision},
            )
            return False
        self._refused.pop(body.team, None)
        self._subtrees[body.team] = parsed.unwrap()
        self._rebuild()
        logger.info(
            "settings accepted",
            extra={"team": body.team, "revision": body.revision},
        )
        return True

    def _rebuild(self) -> None:
        self._services = {
            name: service
            for subtree in self._subtrees.values()
            for name, service in subtree.services.items()
        }
        for listener in self._listeners:
            listener()
