"""Which route and targets a request would take, and why."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import paths
from sardinedoor_node.ingress import routes

if TYPE_CHECKING:
    from sardinedoor_node.membership import configured
    from sardinedoor_node.membership import table
    from sardinedoor_node.settings import store
    from sardinedoor_schema import codes
    from sardinedoor_schema.generated import wire

_ROTATION = "in rotation"


@dataclasses.dataclass(slots=True)
class Question:
    """A request that is not sent."""

    method: str
    path: str
    public: bool


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker of the service; `reason` tells why it gets no work."""

    worker: str
    node: str
    failure_domain: str
    in_rotation: bool
    reason: str


@dataclasses.dataclass(slots=True)
class Explanation:
    """What would become of a request.

    Attributes:
        code: Result code that refuses it, 0 if a target is picked.
        floor: Least number of workers kept in rotation.
    """

    code: int = 0
    reason: str = ""
    team: str = ""
    revision: int = 0
    route: str = ""
    service: str = ""
    idempotent: bool = False
    timeout_ms: int = 0
    floor: int = 0
    candidates: list[Candidate] = dataclasses.field(default_factory=list)


class Explainer:
    """Answers questions from what this node believes now."""

    def __init__(
        self,
        settings_store: store.SettingsStore,
        members: table.MemberTable,
        workers: configured.ConfiguredWorkers,
    ):
        self._store = settings_store
        self._members = members
        self._workers = workers

    def explain(self, question: Question) -> Explanation:
        """Explains what would become of a request."""
        parsed = paths.parse(question.path)
        if parsed.is_err():
            return _refused(parsed.unwrap_err())
        known = routes.RouteTable(self._store.subtrees.values())
        matched = known.match(
            question.method, parsed.unwrap().path, question.public
        )
        if matched.is_err():
            return _refused(matched.unwrap_err())
        return self._explain_route(matched.unwrap(), question.method)

    def _explain_route(self, route: routes.Route, method: str) -> Explanation:
        name = route.settings.service
        service = self._store.services[name]
        heard = [
            self._candidate(entry, worker)
            for entry in self._members.entries.values()
            if entry.member is not None
            for worker in entry.member.workers
            if worker.service == name
        ]
        known = {candidate.worker for candidate in heard}
        unheard = [
            Candidate(worker, "", "", False, "no node says that it owns it")
            for worker in service.workers
            if worker not in known
        ]
        return Explanation(
            team=route.team,
            revision=route.revision,
            route=route.name,
            service=name,
            idempotent=route.is_idempotent(method),
            timeout_ms=route.settings.timeout_ms,
            floor=service.floor,
            candidates=sorted(heard + unheard, key=lambda c: c.worker),
        )

    def _candidate(self, entry: table.Entry, worker: wire.Worker) -> Candidate:
        reason = self._reason(entry, worker)
        return Candidate(
            worker.name,
            entry.name,
            entry.failure_domain,
            not reason,
            reason or _ROTATION,
        )

    def _reason(self, entry: table.Entry, worker: wire.Worker) -> str:
        if not entry.alive:
            return f"its node is dead: {entry.reason}"
        if entry.leaving:
            return f"its node is leaving: {entry.reason}"
        if not entry.reachable:
            return f"its node is out of reach: {entry.reason}"
        if not self._workers.allows(worker.service, worker.name):
            return "the settings don't name it"
        if worker.ejected:
            return f"ejected by its owner: {worker.reason}"
        return ""


def _refused(code: codes.Code) -> Explanation:
    return Explanation(code=int(code), reason=code.name.lower())
