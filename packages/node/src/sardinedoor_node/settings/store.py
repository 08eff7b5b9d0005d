"""Store of the teams' settings, one subtree for each team."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node.membership import records
from sardinedoor_node.settings import bodies
from sardinedoor_node.settings import ownership
from sardinedoor_node.settings import tree
from sardinedoor_node.util import listeners
from sardinedoor_schema import faults
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import metrics
    from sardinedoor_schema import ini
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import settings

logger = logging.getLogger(__name__)

_CONFLICT_CODES = (
    faults.FaultCode.SERVICE_OF_OTHER_TEAM,
    faults.FaultCode.ROUTE_OF_OTHER_TEAM,
)

TeamListener = "Callable[[tree.Subtree | None, tree.Subtree], None]"


@dataclasses.dataclass(slots=True)
class _TeamRecord:
    """Revisions and bodies of one team, for replication to peers.

    Attributes:
        state: Revisions in force and refused.
        body: Body in force.
        refused_body: Newest refused body, unless a newer one was accepted.
        state_hash: Hash of the state, part of the digest of the store.
    """

    state: wire.TeamState
    body: wire.Body | None = None
    refused_body: wire.Body | None = None
    state_hash: int = 0


class SettingsStore:
    """Keeps the newest valid subtree of each team.

    Revisions of a team never go back. A subtree with a fault is refused as a
    whole and the previous one stays in force.
    """

    def __init__(self, counters: metrics.Metrics | None = None):
        """Creates a store without subtrees.

        Args:
            counters: Counts the failures of listeners.
        """
        self._subtrees: dict[str, tree.Subtree] = {}
        self._refused: dict[str, tuple[int, list[ini.Fault]]] = {}
        self._teams: dict[str, _TeamRecord] = {}
        self._digest = 0
        self._ownership = ownership.Ownership()
        self._listeners = listeners.ListenerGroup("settings changed", counters)
        self._team_listeners = listeners.ListenerGroup(
            "settings of a team changed", counters
        )
        self._revision_listeners = listeners.ListenerGroup(
            "revision of a team changed", counters
        )
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

    @property
    def digest(self) -> bytes:
        """Digest of all teams' revisions in force and refused."""
        return self._digest.to_bytes(records.HASH_BYTES, "big")

    def floor(self, service: str) -> int:
        """Returns a service's floor, 1 for an unknown service.

        The floor is the least number of workers that stay in rotation.
        """
        found = self._services.get(service)
        return found.floor if found else 1

    def revision(self, team: str) -> int:
        """Returns a team's revision in force, 0 for none."""
        subtree = self._subtrees.get(team)
        return subtree.revision if subtree else 0

    def newest_revision(self, team: str) -> int:
        """Returns a team's newest known revision, in force or refused."""
        state = self.state(team)
        return max(state.revision, state.refused)

    def state(self, team: str) -> wire.TeamState:
        """Returns a team's revisions in force and refused."""
        record = self._teams.get(team)
        return record.state if record else wire.TeamState(team)

    def states(self) -> list[wire.TeamState]:
        """Returns the revisions in force and refused of all teams."""
        return [team.state for team in self._teams.values()]

    def is_behind(self, state: wire.TeamState) -> bool:
        """Returns whether a peer has a newer revision than this store.

        Args:
            state: The peer's revisions of a team.
        """
        own = self.state(state.team)
        if state.refused > max(own.refused, own.revision):
            return True
        return state.revision > own.revision and state.revision != own.refused

    def newer_bodies(
        self, team: str, revision: int, refused: int
    ) -> list[wire.Body]:
        """Returns the bodies that a peer needs, the lowest revision first.

        Args:
            team: Name of the team.
            revision: The peer's revision in force.
            refused: The newest revision that the peer refused.
        """
        record = self._teams.get(team)
        if record is None:
            return []
        found = []
        if record.body and record.state.revision > revision:
            found.append(record.body)
        if record.refused_body and record.state.refused > max(
            refused, revision
        ):
            found.append(record.refused_body)
        return sorted(found, key=lambda body: body.revision)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each accepted subtree."""
        self._listeners.add(listener)

    def on_team_change(self, listener: TeamListener) -> None:
        """Registers a callback that gets a team's old and new subtree."""
        self._team_listeners.add(listener)

    def on_revision(self, listener: Callable[[str], None]) -> None:
        """Registers a callback that gets the team of each new revision.

        It is called for accepted and for refused revisions.
        """
        self._revision_listeners.add(listener)

    def apply(self, body: platform.Subtree) -> bool:
        """Puts a subtree in force if it is newer and valid.

        Args:
            body: Unparsed subtree from the platform or a peer.

        Returns:
            True if the subtree is now in force.
        """
        if not self._is_wanted(body):
            return False
        parsed = tree.parse(body.team, body.revision, body.text)
        accepted = self._check_and_apply(body, parsed)
        for candidate in self._conflicting_bodies() if accepted else ():
            parsed = tree.parse(
                candidate.team, candidate.revision, candidate.text
            )
            self._check_and_apply(candidate, parsed)
        return accepted

    async def apply_in_slices(self, body: platform.Subtree) -> bool:
        """Does the same as `apply`, but lets other tasks run while parsing."""
        if not self._is_wanted(body):
            return False
        parsed = await tree.parse_in_slices(body.team, body.revision, body.text)
        # Another revision may have been applied between the slices.
        if not self._is_wanted(body):
            return False
        accepted = self._check_and_apply(body, parsed)
        for candidate in self._conflicting_bodies() if accepted else ():
            parsed = await tree.parse_in_slices(
                candidate.team, candidate.revision, candidate.text
            )
            if candidate.revision == self.state(candidate.team).refused:
                self._check_and_apply(candidate, parsed)
        return accepted

    def _conflicting_bodies(self) -> list[platform.Subtree]:
        """Returns the subtrees refused only for conflicts with other teams.

        They are checked again after each accepted subtree, since the other
        team may have given up the name or path.
        """
        return [
            bodies.unpack(self._teams[team].refused_body)
            for team, (_, found) in self._refused.items()
            if all(fault.code in _CONFLICT_CODES for fault in found)
        ]

    def _is_wanted(self, body: platform.Subtree) -> bool:
        state = self.state(body.team)
        return body.revision > state.revision and (
            body.revision != state.refused
        )

    def _check_and_apply(
        self, body: platform.Subtree, parsed: tree.Parsed
    ) -> bool:
        old = self._subtrees.get(body.team)
        if parsed.is_ok():
            found = self._ownership.find_faults(old, parsed.unwrap())
        else:
            found = parsed.unwrap_err()
        if found:
            self._refuse(body, found)
        else:
            self._accept(body, old, parsed.unwrap())
        return not found

    def _refuse(self, body: platform.Subtree, found: list[ini.Fault]) -> None:
        extra = {"team": body.team, "revision": body.revision}
        logger.warning(
            "settings refused", extra=extra | {"reason": str(found[0])}
        )
        state = self.state(body.team)
        if body.revision < state.refused:
            return
        self._refused[body.team] = (body.revision, found)
        record = self._teams.setdefault(body.team, _TeamRecord(state))
        record.state = wire.TeamState(body.team, state.revision, body.revision)
        record.refused_body = bodies.pack(body)
        self._note_revision(record)

    def _accept(
        self,
        body: platform.Subtree,
        old: tree.Subtree | None,
        new: tree.Subtree,
    ) -> None:
        state = self.state(body.team)
        record = self._teams.setdefault(body.team, _TeamRecord(state))
        refused = state.refused
        if refused <= body.revision:
            self._refused.pop(body.team, None)
            record.refused_body = None
            refused = 0
        record.state = wire.TeamState(body.team, body.revision, refused)
        record.body = bodies.pack(body)
        self._subtrees[body.team] = new
        self._ownership.replace(old, new)
        for name in old.services if old else ():
            self._services.pop(name, None)
        self._services.update(new.services)
        logger.info(
            "settings accepted",
            extra={"team": body.team, "revision": body.revision},
        )
        self._team_listeners.notify(old, new)
        self._listeners.notify()
        self._note_revision(record)

    def _note_revision(self, record: _TeamRecord) -> None:
        state = record.state
        text = f"{state.team}/{state.revision}/{state.refused}"
        self._digest ^= record.state_hash
        record.state_hash = records.hash64(text.encode())
        self._digest ^= record.state_hash
        self._revision_listeners.notify(state.team)
