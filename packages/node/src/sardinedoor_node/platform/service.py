"""Wires the reads of the platform together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardinedoor_node.platform import client
from sardinedoor_node.platform import election
from sardinedoor_node.platform import listing
from sardinedoor_node.platform import reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node.membership import pings
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks


class PlatformReads:
    """What one node reads from the platform."""

    def __init__(
        self,
        address: str,
        members: table.MemberTable,
        settings_store: store.SettingsStore,
        pinger: pings.Pinger,
        is_serving: Callable[[], bool],
        time: clock.Clock,
        rng: random.Random,
        group: tasks.TaskGroup,
        platform_client: client.PlatformClient | None = None,
    ):
        """Builds the parts; nothing is read yet.

        Args:
            address: IP number and port of the platform.
            members: The table.
            settings_store: The settings.
            pinger: Carries how long ago the platform was read.
            is_serving: Whether boot is done.
            time: Clock.
            rng: Source of randomness.
            group: Runs the tasks.
            platform_client: Reads the platform, in place of one for the
                address.
        """
        domain = members.own.failure_domain
        self._tasks = group
        self._pinger = pinger
        self.client = platform_client or client.PlatformClient(address)
        self.rank = election.ReaderRank(
            members, lambda: pinger.platform_age_s, time
        )
        self.listing = listing.Listing(members, domain, time, is_serving)
        self.reader = reader.Reader(
            self.client,
            settings_store,
            self.listing,
            self.rank,
            pinger.record_platform_read,
            domain,
            time,
            rng,
            group,
        )

    @property
    def age_s(self) -> float | None:
        """Time since any node is known to have read the platform, in s."""
        return self._pinger.platform_age_s

    def start(self) -> None:
        """Starts the watches."""
        self._tasks.spawn(self.reader.watch_settings(), "settings")
        self._tasks.spawn(self.reader.watch_instances(), "instances")

    def close(self) -> None:
        """Frees the client."""
        self.client.close()
