"""One team's subtree of the settings."""

from __future__ import annotations

import dataclasses

import result

from sardinedoor_schema import ini
from sardinedoor_schema.generated import settings

_SERVICE_PREFIX = "service "
_ROUTE_PREFIX = "route "


@dataclasses.dataclass(slots=True)
class Subtree:
    """A team's services and routes at one revision."""

    team: str
    revision: int
    services: dict[str, settings.ServiceSettings]
    routes: dict[str, settings.RouteSettings]


def parse(
    team: str, revision: int, text: str
) -> result.Result[Subtree, list[ini.Fault]]:
    """Parses a team's subtree.

    Args:
        team: Name of the team.
        revision: The platform's revision of the subtree.
        text: The INI text.

    Returns:
        The subtree, or all faults.
    """
    reader = ini.Reader(team, text)
    header = reader.convert("team", settings.TeamSettings)
    if header is not None and header.name != team:
        reader.fault("team", "name", f"{header.name!r} is not {team!r}")
    subtree = Subtree(team, revision, {}, {})
    for section in reader.sections():
        _convert_section(reader, section, subtree)
    for name, route in subtree.routes.items():
        if route.service not in subtree.services:
            reader.fault(
                _ROUTE_PREFIX + name, "service", "is not one of the team's"
            )
    if reader.faults:
        return result.Err(reader.faults)
    return result.Ok(subtree)


def _convert_section(
    reader: ini.Reader, section: str, subtree: Subtree
) -> None:
    if section == "team":
        return
    if section.startswith(_SERVICE_PREFIX):
        service = reader.convert(section, settings.ServiceSettings)
        if service is not None:
            name = section.removeprefix(_SERVICE_PREFIX)
            subtree.services[name] = service
        return
    if section.startswith(_ROUTE_PREFIX):
        route = reader.convert(section, settings.RouteSettings)
        if route is not None:
            subtree.routes[section.removeprefix(_ROUTE_PREFIX)] = route
        return
    reader.fault(section, "", "unknown section")
