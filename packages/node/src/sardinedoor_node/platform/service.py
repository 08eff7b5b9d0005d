"""Assembly of the components that read the platform."""

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


class PlatformPoller:
    """Reads settings and instances from the platform if the node is a reader.

    Attributes:
        client: Client of the platform.
        election: Decides whether this node is a reader.
        instance_tracker: Applies the lists of instances to the member table.
        reader: Runs the long polls.
    """

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
        """Builds the components; starts no task.

        Args:
            address: IP number and port of the platform.
            members: The member table.
            settings_store: Store that receives the settings.
            pinger: Exchanges with peers the time since the platform was read.
            is_serving: Returns whether bootstrapping is finished.
            time: The clock.
            rng: Source of randomness.
            group: Runs the tasks.
            platform_client: Client to use in place of a new one for the
                address.
        """
        domain = members.own.failure_domain
        self._tasks = group
        self._pinger = pinger
        self.client = platform_client or client.PlatformClient(address)
        self.election = election.ReaderElection(
            members, lambda: pinger.platform_age_s, time
        )
        self.instance_tracker = listing.InstanceTracker(
            members, domain, time, is_serving
        )
        self.reader = reader.Reader(
            self.client,
            settings_store,
            self.instance_tracker,
            self.election,
            pinger.record_platform_read,
            domain,
            time,
            rng,
            group,
        )

    @property
    def age_s(self) -> float | None:
        """Time since any node read the platform, in s; None if unknown."""
        return self._pinger.platform_age_s

    def start(self) -> None:
        """Starts the long polls."""
        self._tasks.supervise(self.reader.poll_settings, "settings")
        self._tasks.supervise(self.reader.poll_instances, "instances")

    def close(self) -> None:
        """Closes the client."""
        self.client.close()
