"""Application of the platform's lists of instances to the member table."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.membership import table
    from sardinedoor_node.util import clock
    from sardinedoor_schema.generated import platform

logger = logging.getLogger(__name__)

CONFIRMATION_S = 60.0
REMOVAL_DELAY_S = 600.0
MAX_LAG_S = 60.0
_MAX_LOST_SHARE = 0.3
_MIN_LOST_LIMIT = 2


class InstanceTracker:
    """Applies the lists of one failure domain to the member table.

    A list from which many instances vanished at once may be wrong, so it is
    applied only after it was confirmed for `CONFIRMATION_S`.
    """

    def __init__(
        self,
        members: table.MemberTable,
        failure_domain: str,
        time: clock.Clock,
        is_serving: Callable[[], bool],
    ):
        """Starts without a list.

        Args:
            members: The member table.
            failure_domain: Failure domain of the lists.
            time: The clock.
            is_serving: Returns whether bootstrapping is finished, so that the
                table contains the records of the peers.
        """
        self._members = members
        self._failure_domain = failure_domain
        self._clock = time
        self._is_serving = is_serving
        self._accepted: dict[str, platform.Instance] = {}
        self._unlisted_since: dict[str, float] = {}
        self._unconfirmed_since: float | None = None

    @property
    def unconfirmed(self) -> bool:
        """Whether the newest list changed too much to be applied yet."""
        return self._unconfirmed_since is not None

    def apply(self, instances: list[platform.Instance]) -> None:
        """Applies the newest list.

        New instances are added at once. If many live instances are missing or
        leaving, the rest of the list awaits confirmation.

        Args:
            instances: The list as read from the platform.
        """
        listed = {
            i.name: i
            for i in instances
            if i.failure_domain == self._failure_domain
        }
        for instance in listed.values():
            self._members.mark_listed(instance)
        if self._needs_confirmation(listed):
            now = self._clock.monotonic()
            if self._unconfirmed_since is None:
                self._unconfirmed_since = now
                logger.warning(
                    "list of instances not believed yet",
                    extra={"before": len(self._accepted), "now": len(listed)},
                )
            if now - self._unconfirmed_since < CONFIRMATION_S:
                return
        self._unconfirmed_since = None
        self._accepted = listed
        self._mark_leaving()
        self._mark_unlisted()

    def _needs_confirmation(self, listed: dict[str, platform.Instance]) -> bool:
        previous = self._accepted
        live = [n for n, i in previous.items() if i.state == "live"]
        lost = [
            n for n in live if n not in listed or listed[n].state == "leaving"
        ]
        return len(lost) > max(_MIN_LOST_LIMIT, _MAX_LOST_SHARE * len(live))

    def _mark_leaving(self) -> None:
        if not self._is_serving():
            return
        now = self._clock.monotonic()
        for instance in self._accepted.values():
            entry = self._members.entries.get(instance.name)
            if instance.state != "leaving" or entry is None:
                continue
            # A lagging list may still describe the previous incarnation.
            if entry.restarted and now - entry.incarnation_seen_at < MAX_LAG_S:
                continue
            if entry.incarnation:
                self._members.mark_leaving(entry.name, "listed as leaving")

    def _mark_unlisted(self) -> None:
        now = self._clock.monotonic()
        for entry in self._members.entries.values():
            if entry.failure_domain != self._failure_domain:
                continue
            entry.listed = entry.name in self._accepted
            if entry.listed:
                self._unlisted_since.pop(entry.name, None)
            else:
                self._unlisted_since.setdefault(entry.name, now)

    def tick(self) -> None:
        """Marks leaving members and removes dead ones unlisted for long."""
        now = self._clock.monotonic()
        self._mark_leaving()
        for name, since in list(self._unlisted_since.items()):
            entry = self._members.entries.get(name)
            if entry is None:
                del self._unlisted_since[name]
            elif not entry.alive and now - max(since, entry.changed_at) >= (
                REMOVAL_DELAY_S
            ):
                self._members.remove(name, "dead and not listed")
