"""Formats the results of commands as text."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_cli import keys as key_generation
from sardinedoor_cli import output

if TYPE_CHECKING:
    from sardinedoor_cli import check
    from sardinedoor_cli import drain
    from sardinedoor_node.admin import explain
    from sardinedoor_node.admin import status as admin_status


def check_result(result: check.CheckResult) -> str:
    """Formats the faults of a check, or a summary if there are none."""
    if result.faults:
        lines = [str(fault) for fault in result.faults]
        return "\n".join([*lines, f"{len(lines)} faults"])
    return (
        f"{len(result.files)} files are valid: {result.teams} teams,"
        f" {result.services} services, {result.routes} routes"
    )


def status(fleet_status: admin_status.Status) -> str:
    """Formats the status of the fleet as known to one node."""
    parts = [
        f"Node {fleet_status.node}: {fleet_status.state}",
        "\nMembers",
        _members(fleet_status),
        "\nTeams",
        _teams(fleet_status),
        "\nTargets",
        _targets(fleet_status),
        "\nWorkers of this node",
        _workers(fleet_status),
        "\nPlatform",
        _platform(fleet_status.platform),
    ]
    if fleet_status.task_restarts:
        parts += ["\nTasks started again", _task_restarts(fleet_status)]
    return "\n".join(parts)


def _task_restarts(fleet_status: admin_status.Status) -> str:
    rows = sorted(fleet_status.task_restarts.items())
    return output.table(("task", "times"), rows)


def _members(fleet_status: admin_status.Status) -> str:
    rows = [
        (m.name, m.failure_domain, m.state, _marks(m), m.reason)
        for m in fleet_status.members
    ]
    return output.table(("name", "domain", "state", "marks", "reason"), rows)


def _marks(member: admin_status.MemberStatus) -> str:
    marks = []
    if member.leaving:
        marks.append("leaving")
    if not member.reachable:
        marks.append("unreachable")
    return ",".join(marks) or "-"


def _teams(fleet_status: admin_status.Status) -> str:
    behind = set(fleet_status.platform.behind)
    rows = [
        (
            team.team,
            team.revision,
            team.refused_revision or "-",
            "platform behind" if team.team in behind else "-",
            "; ".join(team.faults) or "-",
        )
        for team in fleet_status.teams
    ]
    header = ("team", "revision", "refused", "note", "faults")
    return output.table(header, rows)


def _targets(fleet_status: admin_status.Status) -> str:
    services: dict[str, list[admin_status.TargetStatus]] = {}
    for target in fleet_status.targets:
        services.setdefault(target.service, []).append(target)
    rows = [
        (
            service,
            len(targets),
            ", ".join(t.worker for t in targets if t.ejected) or "-",
        )
        for service, targets in sorted(services.items())
    ]
    return output.table(("service", "targets", "ejected"), rows)


def _workers(fleet_status: admin_status.Status) -> str:
    rows = [
        (
            worker.worker,
            worker.service,
            f"{worker.in_flight}/{worker.slots}",
            _worker_marks(worker),
        )
        for worker in fleet_status.workers
    ]
    return output.table(("worker", "service", "in flight", "marks"), rows)


def _worker_marks(worker: admin_status.WorkerStatus) -> str:
    marks = []
    if worker.drained:
        marks.append("drained")
    if worker.leaving:
        marks.append("leaving")
    if worker.rate_limit is not None:
        marks.append(f"limit {worker.rate_limit:g}/s")
    return ",".join(marks) or "-"


def _platform(platform: admin_status.PlatformStatus) -> str:
    age = "never" if platform.age_s < 0 else f"{platform.age_s:.1f} s ago"
    role = "reads it" if platform.reader else "gets changes from readers"
    text = f"last read {age}; this node {role}"
    if platform.list_doubted:
        text += "; the list of instances changed too much to be accepted yet"
    if platform.error:
        text += f"; last error: {platform.error}"
    return text


def explanation(explained: explain.Explanation) -> str:
    """Formats how a node would handle a request."""
    if explained.code:
        return f"refused: {explained.code} {explained.reason}"
    kind = "idempotent" if explained.idempotent else "not idempotent: run once"
    rows = [
        (c.worker, c.node or "-", c.failure_domain or "-", c.reason)
        for c in explained.candidates
    ]
    lines = [
        f"route {explained.route} of team {explained.team},"
        f" revision {explained.revision}",
        f"service {explained.service}, floor {explained.floor}, {kind},"
        f" at most {explained.timeout_ms} ms",
        output.table(("target", "node", "domain", "state"), rows),
    ]
    return "\n".join(lines)


def edit(prepared: drain.Edit, written: bool) -> str:
    """Formats an edit of the settings."""
    state = "written" if written else "not written; add --write"
    return (
        f"{prepared.file}: {prepared.service} without {prepared.worker}"
        f" keeps {prepared.left} workers, floor {prepared.floor} ({state})"
    )


@dataclasses.dataclass(slots=True)
class Keys:
    """Generated keys of one node, including its secret keys.

    Attributes:
        link: Key pair for the node links.
        tls: Certificate of the public listener; None if none was requested.
    """

    link: key_generation.LinkKeyPair
    tls: key_generation.Certificate | None


def keys(
    pair: key_generation.LinkKeyPair,
    certificate: key_generation.Certificate | None,
) -> str:
    """Formats keys as lines of settings files."""
    lines = [
        "; secret: for one node's own settings",
        f"link_secret_key = {pair.secret}",
        "; for the settings of all nodes",
        f"link_accepted_keys = {pair.public}",
    ]
    if certificate is not None:
        for key, pem in (
            ("tls_certificate", certificate.certificate),
            ("tls_key", certificate.key),
        ):
            lines.append(f"{key} = {key_generation.as_ini_value(pem)}")
    return "\n".join(lines)
