"""Explains how a request would be routed, without sending it."""

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

_IN_ROTATION_REASON = "in rotation"


@dataclasses.dataclass(slots=True)
class Question:
    """The request to explain.

    Attributes:
        method: Its HTTP method.
        path: Its request target.
        public: Whether it would arrive on a public listener.
    """

    method: str
    path: str
    public: bool


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker of the route's service.

    Attributes:
        worker: Its name.
        node: Name of the node that owns it; empty if none announces it.
        failure_domain: Failure domain of that node.
        in_rotation: Whether it may get requests.
        reason: Why it is excluded; "in rotation" if it isn't.
    """

    worker: str
    node: str
    failure_domain: str
    in_rotation: bool
    reason: str


@dataclasses.dataclass(slots=True)
class Explanation:
    """How a request would be routed.

    Attributes:
        code: Result code that it would be refused with; 0 if it is routed.
        reason: Name of that code.
        team: Team that owns the matching route.
        revision: Revision of the team's settings that define the route.
        route: Name of the route.
        service: Name of the route's service.
        idempotent: Whether the request may run more than once.
        timeout_ms: Timeout of the route, in ms.
        floor: Least number of workers kept in rotation.
        candidates: Workers of the service, sorted by name.
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
    """Explains requests by the current state of this node."""

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
        """Returns how a request would be routed now."""
        parsed = paths.parse(question.path)
        if parsed.is_err():
            return _explain_refusal(parsed.unwrap_err())
        route_table = routes.RouteTable(self._store.subtrees.values())
        matched = route_table.match(
            question.method, parsed.unwrap().path, question.public
        )
        if matched.is_err():
            return _explain_refusal(matched.unwrap_err())
        return self._explain_route(matched.unwrap(), question.method)

    def _explain_route(self, route: routes.Route, method: str) -> Explanation:
        service_name = route.settings.service
        service = self._store.services[service_name]
        announced = [
            self._candidate(entry, worker)
            for entry in self._members.entries.values()
            if entry.member is not None
            for worker in entry.member.workers
            if worker.service == service_name
        ]
        known_names = {candidate.worker for candidate in announced}
        unannounced = [
            Candidate(worker, "", "", False, "no node says that it owns it")
            for worker in service.workers
            if worker not in known_names
        ]
        return Explanation(
            team=route.team,
            revision=route.revision,
            route=route.name,
            service=service_name,
            idempotent=route.is_idempotent(method),
            timeout_ms=route.settings.timeout_ms,
            floor=service.floor,
            candidates=sorted(announced + unannounced, key=lambda c: c.worker),
        )

    def _candidate(self, entry: table.Entry, worker: wire.Worker) -> Candidate:
        reason = self._exclusion_reason(entry, worker)
        return Candidate(
            worker.name,
            entry.name,
            entry.failure_domain,
            not reason,
            reason or _IN_ROTATION_REASON,
        )

    def _exclusion_reason(self, entry: table.Entry, worker: wire.Worker) -> str:
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


def _explain_refusal(code: codes.Code) -> Explanation:
    return Explanation(code=int(code), reason=code.name.lower())
