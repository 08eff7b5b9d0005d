"""What the platform's list of instances is believed to say."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import platform

logger = logging.getLogger(__name__)

HOLD_S = 60.0
REMOVE_S = 600.0
LAG_S = 60.0
_LARGE_SHARE = 0.3
_SMALL_COUNT = 2


class Listing:
    """Applies lists of one failure domain to the table of members."""

    def __init__(
        self,
        members: table.MemberTable,
        failure_domain: str,
        time: clock.Clock,
        is_serving: Callable[[], bool],
    ):
        """Starts without a list.

        Args:
            members: The table.
            failure_domain: The domain that the lists are about.
            time: Clock.
            is_serving: Whether peers have told this node what they know.
        """
        self._members = members
        self._domain = failure_domain
        self._clock = time
        self._is_serving = is_serving
        self._believed: dict[str, platform.Instance] = {}
        self._unlisted: dict[str, float] = {}
        self._doubted_since: float | None = None

    @property
    def doubted(self) -> bool:
        """Whether the newest list changed too much to be believed yet."""
        return self._doubted_since is not None

    def take(self, instances: list[platform.Instance]) -> None:
        """Takes the newest list.

        New instances are believed at once; a list that loses many, or calls
        many leaving that were live, only after it has said so for a while.

        Args:
            instances: The list as it was read.
        """
        listed = {
            i.name: i for i in instances if i.failure_domain == self._domain
        }
        for instance in listed.values():
            self._members.mark_listed(instance)
        if self._is_doubtful(listed):
            now = self._clock.monotonic()
            if self._doubted_since is None:
                self._doubted_since = now
                logger.warning(
                    "list of instances not believed yet",
                    extra={"before": len(self._believed), "now": len(listed)},
                )
            if now - self._doubted_since < HOLD_S:
                return
        self._doubted_since = None
        self._believed = listed
        self._mark_leaving()
        self._mark_unlisted()

    def _is_doubtful(self, listed: dict[str, platform.Instance]) -> bool:
        before = self._believed
        live = [n for n, i in before.items() if i.state == "live"]
        lost = [
            n for n in live if n not in listed or listed[n].state == "leaving"
        ]
        return len(lost) > max(_SMALL_COUNT, _LARGE_SHARE * len(live))

    def _mark_leaving(self) -> None:
        if not self._is_serving():
            return
        now = self._clock.monotonic()
        for instance in self._believed.values():
            entry = self._members.entries.get(instance.name)
            if instance.state != "leaving" or entry is None:
                continue
            # A lagging list may still speak of the run before this one.
            if entry.restarted and now - entry.incarnation_seen_at < LAG_S:
                continue
            if entry.incarnation:
                self._members.mark_leaving(entry.name, "listed as leaving")

    def _mark_unlisted(self) -> None:
        now = self._clock.monotonic()
        for entry in self._members.entries.values():
            if entry.failure_domain != self._domain:
                continue
            entry.listed = entry.name in self._believed
            if entry.listed:
                self._unlisted.pop(entry.name, None)
            else:
                self._unlisted.setdefault(entry.name, now)

    def tick(self) -> None:
        """Removes members that are dead and have been unlisted for long."""
        now = self._clock.monotonic()
        self._mark_leaving()
        for name, since in list(self._unlisted.items()):
            entry = self._members.entries.get(name)
            if entry is None:
                del self._unlisted[name]
            elif not entry.alive and now - max(since, entry.changed_at) >= (
                REMOVE_S
            ):
                self._members.remove(name, "dead and not listed")
