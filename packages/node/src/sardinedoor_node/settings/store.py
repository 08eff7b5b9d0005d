"""The newest accepted subtree of each team."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from sardinedoor_node.membership import records
from sardinedoor_node.settings import bodies
from sardinedoor_node.settings import ownership
from sardinedoor_node.settings import tree
from sardinedoor_schema import faults
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_schema import ini
    from sardinedoor_schema.generated import platform
    from sardinedoor_schema.generated import settings

logger = logging.getLogger(__name__)

_CLASHES = (
    faults.FaultCode.SERVICE_OF_OTHER_TEAM,
    faults.FaultCode.ROUTE_OF_OTHER_TEAM,
)

TeamListener = "Callable[[tree.Subtree | None, tree.Subtree], None]"


@dataclasses.dataclass(slots=True)
class _Team:
    """Bodies of one team, for peers that ask."""

    state: wire.TeamState
    body: wire.Body | None = None
    refused_body: wire.Body | None = None
    hash: int = 0


class SettingsStore:
    """Takes only higher revisions, and keeps the last good subtree."""

    def __init__(self) -> None:
        self._subtrees: dict[str, tree.Subtree] = {}
        self._refused: dict[str, tuple[int, list[ini.Fault]]] = {}
        self._teams: dict[str, _Team] = {}
        self._digest = 0
        self._ownership = ownership.Ownership()
        self._listeners: list[Callable[[], None]] = []
        self._team_listeners: list[TeamListener] = []
        self._seen_listeners: list[Callable[[str], None]] = []
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
        """Digest of the revisions held, in force and refused."""
        return self._digest.to_bytes(records.HASH_BYTES, "big")

    def floor(self, service: str) -> int:
        """Returns a service's floor, 1 where it isn't known."""
        found = self._services.get(service)
        return found.floor if found else 1

    def revision(self, team: str) -> int:
        """Returns the revision in force, 0 for none."""
        subtree = self._subtrees.get(team)
        return subtree.revision if subtree else 0

    def newest(self, team: str) -> int:
        """Returns the newest revision seen, in force or refused."""
        state = self.state(team)
        return max(state.revision, state.refused)

    def state(self, team: str) -> wire.TeamState:
        """Returns the revisions of a team that are held."""
        known = self._teams.get(team)
        return known.state if known else wire.TeamState(team)

    def states(self) -> list[wire.TeamState]:
        """Returns the revisions of all teams that are held."""
        return [team.state for team in self._teams.values()]

    def lacks(self, state: wire.TeamState) -> bool:
        """Tells whether a peer holds something newer."""
        own = self.state(state.team)
        if state.refused > max(own.refused, own.revision):
            return True
        return state.revision > own.revision and state.revision != own.refused

    def bodies(self, team: str, revision: int, refused: int) -> list[wire.Body]:
        """Lists the bodies held above what a peer has, the lower first."""
        known = self._teams.get(team)
        if known is None:
            return []
        found = []
        if known.body and known.state.revision > revision:
            found.append(known.body)
        if known.refused_body and known.state.refused > max(refused, revision):
            found.append(known.refused_body)
        return sorted(found, key=lambda body: body.revision)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a call for each accepted change."""
        self._listeners.append(listener)

    def on_team_change(self, listener: TeamListener) -> None:
        """Registers a call with the old and the new subtree of a team."""
        self._team_listeners.append(listener)

    def on_seen(self, listener: Callable[[str], None]) -> None:
        """Registers a call, by team, for each revision taken or refused."""
        self._seen_listeners.append(listener)

    def offer(self, body: platform.Subtree) -> bool:
        """Takes a subtree if it is newer and valid.

        Args:
            body: The subtree as the platform or a peer gave it.

        Returns:
            True if it is now in force.
        """
        if not self._wanted(body):
            return False
        parsed = tree.parse(body.team, body.revision, body.text)
        accepted = self._decide(body, parsed)
        for held in self._reconsidered() if accepted else ():
            parsed = tree.parse(held.team, held.revision, held.text)
            self._decide(held, parsed)
        return accepted

    async def take(self, body: platform.Subtree) -> bool:
        """Takes a subtree like `offer`, but parses in slices."""
        if not self._wanted(body):
            return False
        parsed = await tree.parse_in_slices(body.team, body.revision, body.text)
        # Another revision may have come in force between the slices.
        if not self._wanted(body):
            return False
        accepted = self._decide(body, parsed)
        for held in self._reconsidered() if accepted else ():
            parsed = await tree.parse_in_slices(
                held.team, held.revision, held.text
            )
            if held.revision == self.state(held.team).refused:
                self._decide(held, parsed)
        return accepted

    def _reconsidered(self) -> list[platform.Subtree]:
        """Lists refused subtrees that only clashed with another team."""
        return [
            bodies.unpack(self._teams[team].refused_body)
            for team, (_, found) in self._refused.items()
            if all(fault.code in _CLASHES for fault in found)
        ]

    def _wanted(self, body: platform.Subtree) -> bool:
        state = self.state(body.team)
        return body.revision > state.revision and (
            body.revision != state.refused
        )

    def _decide(self, body: platform.Subtree, parsed: tree.Parsed) -> bool:
        old = self._subtrees.get(body.team)
        if parsed.is_ok():
            found = self._ownership.check(old, parsed.unwrap())
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
        known = self._teams.setdefault(body.team, _Team(state))
        known.state = wire.TeamState(body.team, state.revision, body.revision)
        known.refused_body = bodies.pack(body)
        self._seen(known)

    def _accept(
        self,
        body: platform.Subtree,
        old: tree.Subtree | None,
        new: tree.Subtree,
    ) -> None:
        state = self.state(body.team)
        known = self._teams.setdefault(body.team, _Team(state))
        refused = state.refused
        if refused <= body.revision:
            self._refused.pop(body.team, None)
            known.refused_body = None
            refused = 0
        known.state = wire.TeamState(body.team, body.revision, refused)
        known.body = bodies.pack(body)
        self._subtrees[body.team] = new
        self._ownership.replace(old, new)
        for name in old.services if old else ():
            self._services.pop(name, None)
        self._services.update(new.services)
        logger.info(
            "settings accepted",
            extra={"team": body.team, "revision": body.revision},
        )
        for listener in self._team_listeners:
            listener(old, new)
        for call in self._listeners:
            call()
        self._seen(known)

    def _seen(self, known: _Team) -> None:
        state = known.state
        text = f"{state.team}/{state.revision}/{state.refused}"
        self._digest ^= known.hash
        known.hash = records.hash64(text.encode())
        self._digest ^= known.hash
        for listener in self._seen_listeners:
            listener(state.team)
