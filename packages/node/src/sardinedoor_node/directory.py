"""Who can be reached for a service: the view that routing has of the fleet."""

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
        name: Name under which links to it are kept.
        link: IP number and port of its link listener.
        incarnation: Its present run; empty where that isn't known.
    """

    name: str
    link: str
    incarnation: bytes = b""


class Directory(abc.ABC):
    """Lists targets and the nodes that own them."""

    @property
    @abc.abstractmethod
    def own_name(self) -> str:
        """Name of this node."""

    @abc.abstractmethod
    def targets(self, service: str) -> list[targets.Target]:
        """Lists the workers of a service that may get new work.

        The list is never changed later.
        """

    @abc.abstractmethod
    def peer(self, name: str) -> Peer | None:
        """Returns a node by name, None if it is unknown."""

    @abc.abstractmethod
    def refused_as_leaving(self, peer: Peer) -> None:
        """Takes the word of a node that it is leaving."""
