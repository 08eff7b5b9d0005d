"""Interface through which requests are routed to the nodes of the fleet."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.membership import targets


@dataclasses.dataclass(slots=True)
class Peer:
    """A node that owns workers.

    Attributes:
        name: Name by which the transport identifies the links to it.
        link: IP number and port of its link listener.
        incarnation: Identifies the current run of its process; empty if
            unknown.
    """

    name: str
    link: str
    incarnation: bytes = b""


class Directory(abc.ABC):
    """Looks up targets by service and nodes by name."""

    @property
    @abc.abstractmethod
    def own_name(self) -> str:
        """Name of this node."""

    @abc.abstractmethod
    def targets(self, service: str) -> list[targets.Target]:
        """Lists the workers of a service that may be sent new requests.

        A returned list is never modified.
        """

    @abc.abstractmethod
    def peer(self, name: str) -> Peer | None:
        """Returns the node with a name; None if it is unknown."""

    @abc.abstractmethod
    def refused_as_leaving(self, peer: Peer) -> None:
        """Records that a node refused an offer because it is leaving."""

    def is_leaving(self, target: targets.Target) -> bool:
        """Returns whether a target must get no request any more.

        Owners refuse requests for such a target as well, so a directory that
        doesn't know may return False.

        Args:
            target: A target that was listed before.
        """
        del target
        return False

    def target_is_leaving(self, target: targets.Target) -> None:
        """Records that a target has announced that it is draining.

        Owners refuse new requests for such a target, so a directory that
        ignores this only costs offers.

        Args:
            target: The target.
        """
        del target
