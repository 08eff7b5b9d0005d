"""What the commands print for people."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_cli import keys as key_making
from sardinedoor_cli import output

if TYPE_CHECKING:
    from sardinedoor_cli import check
    from sardinedoor_cli import drain
    from sardinedoor_node.admin import explain
    from sardinedoor_node.admin import status as admin_status


def checked(result: check.Checked) -> str:
    """Shows the faults, or that there are none."""
    if result.faults:
        lines = [str(fault) for fault in result.faults]
        return "\n".join([*lines, f"{len(lines)} faults"])
    return (
        f"{len(result.files)} files are valid: {result.teams} teams,"
        f" {result.services} services, {result.routes} routes"
    )


def status(found: admin_status.Status) -> str:
    """Shows the fleet as one node sees it."""
    parts = [
        f"Node {found.node}: {found.state}",
        "\nMembers",
        _members(found),
        "\nTeams",
        _teams(found),
        "\nTargets",
        _targets(found),
        "\nWorkers of this node",
        _workers(found),
        "\nPlatform",
        _platform(found.platform),
    ]
    return "\n".join(parts)


def _members(found: admin_status.Status) -> str:
    rows = [
        (m.name, m.failure_domain, m.state, _marks(m), m.reason)
        for m in found.members
    ]
    return output.table(("name", "domain", "state", "marks", "reason"), rows)


def _marks(member: admin_status.MemberStatus) -> str:
    marks = []
    if member.leaving:
        marks.append("leaving")
    if not member.reachable:
        marks.append("unreachable")
    return ",".join(marks) or "-"


def _teams(found: admin_status.Status) -> str:
    behind = set(found.platform.behind)
    rows = [
        (
            team.team,
            team.revision,
            team.refused_revision or "-",
            "platform behind" if team.team in behind else "-",
            "; ".join(team.faults) or "-",
        )
        for team in found.teams
    ]
    header = ("team", "revision", "refused", "note", "faults")
    return output.table(header, rows)


def _targets(found: admin_status.Status) -> str:
    services: dict[str, list[admin_status.TargetStatus]] = {}
    for target in found.targets:
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


def _workers(found: admin_status.Status) -> str:
    rows = [
        (
            worker.worker,
            worker.service,
            f"{worker.in_flight}/{worker.slots}",
            "drained" if worker.drained else "-",
        )
        for worker in found.workers
    ]
    return output.table(("worker", "service", "in flight", "marks"), rows)


def _platform(platform: admin_status.PlatformStatus) -> str:
    age = "never" if platform.age_s < 0 else f"{platform.age_s:.1f} s ago"
    role = "reads it" if platform.reader else "hears from readers"
    text = f"last read {age}; this node {role}"
    if platform.list_doubted:
        text += "; the list of instances changed too much to be believed"
    if platform.error:
        text += f"; last error: {platform.error}"
    return text


def explanation(found: explain.Explanation) -> str:
    """Shows what would become of a request."""
    if found.code:
        return f"refused: {found.code} {found.reason}"
    kind = "idempotent" if found.idempotent else "not idempotent: runs once"
    rows = [
        (c.worker, c.node or "-", c.failure_domain or "-", c.reason)
        for c in found.candidates
    ]
    lines = [
        f"route {found.route} of team {found.team}, revision {found.revision}",
        f"service {found.service}, floor {found.floor}, {kind},"
        f" at most {found.timeout_ms} ms",
        output.table(("target", "node", "domain", "state"), rows),
    ]
    return "\n".join(lines)


def edit(made: drain.Edit, written: bool) -> str:
    """Shows an edit of the settings."""
    state = "written" if written else "not written; add --write"
    return (
        f"{made.file}: {made.service} without {made.worker} keeps {made.left}"
        f" workers, floor {made.floor} ({state})"
    )


@dataclasses.dataclass(slots=True)
class Keys:
    """Keys for a node's own settings; all of them are secret."""

    link: key_making.LinkKeyPair
    tls: key_making.Certificate | None


def keys(
    pair: key_making.LinkKeyPair, certificate: key_making.Certificate | None
) -> str:
    """Shows keys as lines of a node's own settings."""
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
            lines.append(f"{key} = {key_making.as_ini_value(pem)}")
    return "\n".join(lines)
