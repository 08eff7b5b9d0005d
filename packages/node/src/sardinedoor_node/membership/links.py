"""Opens links for requests ahead of use, up to a cap."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from sardinedoor_node import membership
from sardinedoor_node.membership import records

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node.membership import table

MAX_AHEAD = 64


class RequestLinks:
    """Keeps links to a part of the members open.

    A link refuses to send until it is connected, so the first request to a
    member would be refused if its link was opened only then.
    """

    def __init__(
        self,
        members: table.MemberTable,
        transport: link.Transport,
        cap: int = MAX_AHEAD,
    ):
        """Follows the table of members.

        Args:
            members: The table.
            transport: Opens links.
            cap: Most links to open ahead.
        """
        self._members = members
        self._transport = transport
        self._cap = cap
        # Worst rank first; a heap of (-rank, name).
        self._ahead: list[tuple[int, str]] = []
        self._open: set[str] = set()
        members.on_change(self._on_change)

    def _on_change(self, entry: table.Entry) -> None:
        if entry.name == self._members.own.name:
            return
        if entry.state is membership.State.REMOVED:
            self._drop(entry.name)
            self._transport.disconnect(entry.name)
        elif entry.usable:
            self._consider(entry)

    def _consider(self, entry: table.Entry) -> None:
        if entry.name not in self._open:
            heapq.heappush(self._ahead, (-self._rank(entry.name), entry.name))
            self._open.add(entry.name)
            if len(self._ahead) > self._cap:
                # Its link is left open, for requests that may be using it.
                _, worst = heapq.heappop(self._ahead)
                self._open.discard(worst)
        if entry.name in self._open:
            self._transport.connect(entry.name, entry.link)

    def _drop(self, name: str) -> None:
        if name in self._open:
            self._open.discard(name)
            self._ahead = [item for item in self._ahead if item[1] != name]
            heapq.heapify(self._ahead)

    def _rank(self, name: str) -> int:
        return records.hash64(f"{self._members.own.name}/{name}".encode())
