"""One team's subtree of the settings."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import re
from typing import TYPE_CHECKING

import result

from sardinedoor_schema import faults
from sardinedoor_schema import ini
from sardinedoor_schema.generated import settings

if TYPE_CHECKING:
    from collections.abc import Generator
    from collections.abc import Iterator

MAX_SUBTREE_BYTES = 1024 * 1024
_SLICE_SECTIONS = 16
_SERVICE_PREFIX = "service "
_ROUTE_PREFIX = "route "
_SECTION_START = re.compile(r"^\[", re.MULTILINE)


@dataclasses.dataclass(slots=True)
class Subtree:
    """A team's services and routes at one revision."""

    team: str
    revision: int
    services: dict[str, settings.ServiceSettings]
    routes: dict[str, settings.RouteSettings]
    confirm_removal: list[str] = dataclasses.field(default_factory=list)


Parsed = result.Result[Subtree, list[ini.Fault]]


def parse(team: str, revision: int, text: str) -> Parsed:
    """Parses a team's subtree.

    Args:
        team: Name of the team.
        revision: The platform's revision of the subtree.
        text: The INI text.

    Returns:
        The subtree, or all faults.
    """
    steps = _parse_slices(team, revision, text)
    while True:
        try:
            next(steps)
        except StopIteration as e:
            return e.value


async def parse_in_slices(team: str, revision: int, text: str) -> Parsed:
    """Parses like `parse`, but lets other tasks run between slices."""
    steps = _parse_slices(team, revision, text)
    while True:
        try:
            next(steps)
        except StopIteration as e:
            return e.value
        await asyncio.sleep(0)


def _parse_slices(
    team: str, revision: int, text: str
) -> Generator[None, None, Parsed]:
    size = len(text.encode())
    if size > MAX_SUBTREE_BYTES:
        reason = f"{size} bytes; at most {MAX_SUBTREE_BYTES} are allowed"
        fault = ini.Fault(team, "", "", reason, faults.FaultCode.TOO_LARGE)
        return result.Err([fault])
    subtree = Subtree(team, revision, {}, {})
    found: list[ini.Fault] = []
    seen: set[str] = set()
    for lines_before, part in _slices(text):
        reader = ini.Reader(team, part)
        if reader.faults:
            # Again with the lines before, so that the fault names its line.
            reader = ini.Reader(team, "\n" * lines_before + part)
        for section in reader.sections():
            if section in seen:
                reader.fault(
                    section,
                    "",
                    "section stands twice",
                    faults.FaultCode.SYNTAX,
                )
            seen.add(section)
            _convert_section(reader, section, subtree)
        found.extend(reader.faults)
        yield
    if all(fault.code != faults.FaultCode.SYNTAX for fault in found):
        found.extend(_check_whole(subtree, seen))
    return result.Err(found) if found else result.Ok(subtree)


def _slices(text: str) -> Iterator[tuple[int, str]]:
    """Splits a text before section headers.

    Yields:
        The number of lines before a slice, and the slice.
    """
    starts = [match.start() for match in _SECTION_START.finditer(text)]
    cuts = [0, *starts[_SLICE_SECTIONS::_SLICE_SECTIONS], len(text)]
    lines = 0
    for start, end in zip(cuts, cuts[1:], strict=False):
        part = text[start:end]
        yield lines, part
        lines += part.count("\n")


def _check_whole(subtree: Subtree, seen: set[str]) -> Iterator[ini.Fault]:
    if "team" not in seen:
        yield ini.Fault(
            subtree.team,
            "team",
            "",
            "section is missing",
            faults.FaultCode.MISSING,
        )
    for name, route in subtree.routes.items():
        if _SERVICE_PREFIX + route.service not in seen:
            yield ini.Fault(
                subtree.team,
                _ROUTE_PREFIX + name,
                "service",
                "is not one of the team's services",
                faults.FaultCode.UNKNOWN_SERVICE,
                route.service,
                ", ".join(subtree.services) or "none; the team has no service",
            )


def _convert_section(
    reader: ini.Reader, section: str, subtree: Subtree
) -> None:
    if section == "team":
        _convert_team(reader, subtree)
        return
    if section.startswith(_SERVICE_PREFIX):
        service = reader.convert(section, settings.ServiceSettings)
        if service is not None:
            name = section.removeprefix(_SERVICE_PREFIX)
            reader.check_name(section, "", name)
            subtree.services[name] = service
            _check_service(reader, section, service)
        return
    if section.startswith(_ROUTE_PREFIX):
        route = reader.convert(section, settings.RouteSettings)
        if route is not None:
            name = section.removeprefix(_ROUTE_PREFIX)
            reader.check_name(section, "", name)
            subtree.routes[name] = route
        return
    reader.fault(
        section,
        "",
        "unknown section",
        faults.FaultCode.UNKNOWN_SECTION,
        allowed_values="[team], [service NAME], [route NAME]",
    )


def _check_service(
    reader: ini.Reader, section: str, service: settings.ServiceSettings
) -> None:
    counts = collections.Counter(service.workers)
    for worker in counts:
        reader.check_name(section, "workers", worker)
    for worker in sorted(w for w, count in counts.items() if count > 1):
        reader.fault(
            section,
            "workers",
            "a worker stands twice",
            faults.FaultCode.DUPLICATE_WORKER,
            worker,
            "each worker once",
        )
    if service.floor > len(counts):
        reader.fault(
            section,
            "floor",
            "is higher than the number of workers",
            faults.FaultCode.FLOOR_ABOVE_WORKERS,
            str(service.floor),
            f"a whole number from 0 to {len(counts)}",
        )


def _convert_team(reader: ini.Reader, subtree: Subtree) -> None:
    header = reader.convert("team", settings.TeamSettings)
    if header is None:
        return
    if header.name != subtree.team:
        reader.fault(
            "team",
            "name",
            "is not the name of the subtree",
            faults.FaultCode.WRONG_TEAM,
            header.name,
            subtree.team,
        )
    subtree.confirm_removal = header.confirm_removal
