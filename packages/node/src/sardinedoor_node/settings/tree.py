"""Parses a team's subtree of the settings."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import re
import sys
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
_SECTION_HEADER = re.compile(r"^\[", re.MULTILINE)


@dataclasses.dataclass(slots=True)
class Subtree:
    """A team's services and routes at one revision.

    Attributes:
        team: Name of the team.
        revision: The platform's revision of the subtree.
        services: Services by name.
        routes: Routes by name.
        confirm_removal: Services that may lose all their workers.
    """

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
    """Does the same as `parse`, but lets other tasks run in between."""
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
    seen_sections: set[str] = set()
    for lines_before, slice_text in _split_slices(text):
        reader = ini.Reader(team, slice_text)
        if reader.faults:
            # Parsed again at its offset, so that faults name the right line.
            reader = ini.Reader(team, "\n" * lines_before + slice_text)
        for section in reader.sections():
            if section in seen_sections:
                reader.fault(
                    section,
                    "",
                    "section is defined twice",
                    faults.FaultCode.SYNTAX,
                )
            seen_sections.add(section)
            _convert_section(reader, section, subtree)
        found.extend(reader.faults)
        yield
    if all(fault.code != faults.FaultCode.SYNTAX for fault in found):
        found.extend(_check_references(subtree, seen_sections))
    return result.Err(found) if found else result.Ok(subtree)


def _split_slices(text: str) -> Iterator[tuple[int, str]]:
    """Splits a text into slices of whole sections.

    Yields:
        The number of lines before the slice, and the slice.
    """
    headers = [match.start() for match in _SECTION_HEADER.finditer(text)]
    cuts = [0, *headers[_SLICE_SECTIONS::_SLICE_SECTIONS], len(text)]
    lines = 0
    for start, end in zip(cuts, cuts[1:], strict=False):
        slice_text = text[start:end]
        yield lines, slice_text
        lines += slice_text.count("\n")


def _check_references(
    subtree: Subtree, seen_sections: set[str]
) -> Iterator[ini.Fault]:
    if "team" not in seen_sections:
        yield ini.Fault(
            subtree.team,
            "team",
            "",
            "section is missing",
            faults.FaultCode.MISSING,
        )
    for name, route in subtree.routes.items():
        if _SERVICE_PREFIX + route.service not in seen_sections:
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
            name = sys.intern(section.removeprefix(_SERVICE_PREFIX))
            service.workers = [sys.intern(w) for w in service.workers]
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
            "a worker is listed twice",
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
