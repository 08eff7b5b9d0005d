"""A directory with fixed targets, and a picker that takes them in order."""

from __future__ import annotations

from sardinedoor_node import directory
from sardinedoor_node import picking
from sardinedoor_node.membership import targets


class FixedDirectory(directory.Directory):
    """Lists targets that never change, each beside a node of its own."""

    def __init__(self, names: list[str], service: str = "pay"):
        """Stores the targets.

        Args:
            names: Names of the targets, which their nodes have too.
            service: Service of all targets.
        """
        self._targets = [
            targets.Target(name, service, name, False) for name in names
        ]

    @property
    def own_name(self) -> str:
        """See base class."""
        return "own"

    def targets(self, service: str) -> list[targets.Target]:
        """See base class."""
        del service
        return self._targets

    def peer(self, name: str) -> directory.Peer | None:
        """See base class."""
        return directory.Peer(name, name)

    def refused_as_leaving(self, peer: directory.Peer) -> None:
        """See base class."""


class InOrderPicker(picking.Picker):
    """Picks targets in their order; names in upper case are failing ones."""

    def pick(self, candidates, tried, idempotent=False):
        """See base class."""
        del idempotent
        for target in candidates:
            if target.worker.islower() and target.worker not in tried:
                return picking.Choice(target)
        return None

    def pick_queues(self, candidates, count, idempotent, wait_s):
        """See base class."""
        del idempotent, wait_s
        return [picking.Choice(target) for target in candidates[:count]]

    def pick_last_resort(self, candidates, tried, idempotent=False):
        """See base class."""
        del idempotent
        for target in candidates:
            if target.worker.isupper() and target.worker not in tried:
                return picking.Choice(target)
        return None

    def request_started(self, target):
        """See base class."""
        del target
        return 0.0

    def request_finished(self, target, token, feedback):
        """See base class."""
