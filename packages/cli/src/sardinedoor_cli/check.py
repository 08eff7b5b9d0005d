"""Checks settings offline."""

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
class Checked:
    """What was checked, and all faults."""

    files: list[str]
    teams: int = 0
    services: int = 0
    routes: int = 0
    faults: list[ini.Fault] = dataclasses.field(default_factory=list)


def check(path: pathlib.Path) -> Checked:
    """Checks a settings tree, or one file of it or of a node.

    Args:
        path: A folder with a file for each team, named TEAM.ini; or a file.

    Returns:
        All faults at once.
    """
    paths = sorted(path.glob("*.ini")) if path.is_dir() else [path]
    checked = Checked([str(p) for p in paths])
    if not paths:
        _add(checked, path, "holds no file TEAM.ini")
    known = ownership.Ownership()
    for file in paths:
        try:
            text = file.read_text()
        except (OSError, UnicodeDecodeError) as e:
            _add(checked, file, str(e))
            continue
        if _NODE_SECTION in text.splitlines():
            _check_node(checked, file, text)
        else:
            _check_team(checked, file, text, known)
    return checked


def _add(checked: Checked, path: pathlib.Path, reason: str) -> None:
    code = faults.FaultCode.UNREADABLE
    checked.faults.append(ini.Fault(str(path), "", "", reason, code))


def _check_node(checked: Checked, path: pathlib.Path, text: str) -> None:
    parsed = nodefile.parse(str(path), text)
    if parsed.is_err():
        checked.faults.extend(parsed.unwrap_err())


def _check_team(
    checked: Checked,
    path: pathlib.Path,
    text: str,
    known: ownership.Ownership,
) -> None:
    parsed = tree.parse(path.stem, _REVISION, text)
    if parsed.is_err():
        checked.faults.extend(_in_file(path, parsed.unwrap_err()))
        return
    subtree = parsed.unwrap()
    checked.faults.extend(_in_file(path, known.find_faults(None, subtree)))
    known.replace(None, subtree)
    checked.teams += 1
    checked.services += len(subtree.services)
    checked.routes += len(subtree.routes)


def _in_file(path: pathlib.Path, found: list[ini.Fault]) -> list[ini.Fault]:
    return [msgspec.structs.replace(f, file=str(path)) for f in found]
