"""Offline validation of settings files."""

from __future__ import annotations

import dataclasses
import pathlib

import msgspec

from sardinedoor_node.settings import nodefile
from sardinedoor_node.settings import ownership
from sardinedoor_node.settings import tree
from sardinedoor_schema import faults
from sardinedoor_schema import ini

_REVISION = 1
_NODE_SECTION = "[node]"


@dataclasses.dataclass(slots=True)
class CheckResult:
    """Result of a check.

    Attributes:
        files: Paths of the files that were checked.
        teams: Number of valid team files.
        services: Number of services in valid team files.
        routes: Number of routes in valid team files.
        faults: All faults of all files.
    """

    files: list[str]
    teams: int = 0
    services: int = 0
    routes: int = 0
    faults: list[ini.Fault] = dataclasses.field(default_factory=list)


def check(path: pathlib.Path) -> CheckResult:
    """Checks a settings tree or a single settings file.

    Args:
        path: A folder with one file TEAM.ini for each team, or the file of
            a team or node.

    Returns:
        The result, with the faults of all files.
    """
    paths = sorted(path.glob("*.ini")) if path.is_dir() else [path]
    check_result = CheckResult([str(p) for p in paths])
    if not paths:
        _add_unreadable(check_result, path, "contains no file TEAM.ini")
    ownership_index = ownership.Ownership()
    for file in paths:
        try:
            text = file.read_text()
        except (OSError, UnicodeDecodeError) as e:
            _add_unreadable(check_result, file, str(e))
            continue
        if _NODE_SECTION in text.splitlines():
            _check_node(check_result, file, text)
        else:
            _check_team(check_result, file, text, ownership_index)
    return check_result


def _add_unreadable(
    check_result: CheckResult, path: pathlib.Path, reason: str
) -> None:
    code = faults.FaultCode.UNREADABLE
    check_result.faults.append(ini.Fault(str(path), "", "", reason, code))


def _check_node(
    check_result: CheckResult, path: pathlib.Path, text: str
) -> None:
    parsed = nodefile.parse(str(path), text)
    if parsed.is_err():
        check_result.faults.extend(parsed.unwrap_err())


def _check_team(
    check_result: CheckResult,
    path: pathlib.Path,
    text: str,
    ownership_index: ownership.Ownership,
) -> None:
    parsed = tree.parse(path.stem, _REVISION, text)
    if parsed.is_err():
        check_result.faults.extend(_with_file(path, parsed.unwrap_err()))
        return
    subtree = parsed.unwrap()
    check_result.faults.extend(
        _with_file(path, ownership_index.find_faults(None, subtree))
    )
    ownership_index.replace(None, subtree)
    check_result.teams += 1
    check_result.services += len(subtree.services)
    check_result.routes += len(subtree.routes)


def _with_file(
    path: pathlib.Path, team_faults: list[ini.Fault]
) -> list[ini.Fault]:
    return [msgspec.structs.replace(f, file=str(path)) for f in team_faults]
