"""Removes workers from their service by editing the settings tree."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import result

from sardinedoor_node.settings import tree

_PLACEHOLDER_REVISION = 1
_WORKERS_KEY = re.compile(r"^workers\s*=.*\n(?:[ \t]+.*\n)*", re.MULTILINE)
_SECTION_START = re.compile(r"^\[", re.MULTILINE)
_MAX_LINE_COLUMNS = 72


@dataclasses.dataclass(slots=True)
class Edit:
    """Removal of one worker from the settings file of its team.

    Attributes:
        file: Path of the team's file.
        team: Name of the team.
        service: Service that the worker is removed from.
        worker: Name of the worker.
        left: Number of workers that the service keeps.
        floor: Least number of workers of the service kept in rotation.
        text: Text of the file after the edit.
    """

    file: str
    team: str
    service: str
    worker: str
    left: int
    floor: int
    text: str = ""


def drain(folder: pathlib.Path, worker: str) -> result.Result[Edit, str]:
    """Prepares the removal of a worker from its service; writes no file.

    Args:
        folder: Folder of the settings tree.
        worker: Name of the worker.

    Returns:
        The edit, or an error message if no service lists the worker, a file
        is invalid, or the service would keep fewer workers than its floor.
    """
    for path in sorted(folder.glob("*.ini")):
        text = path.read_text()
        parsed = tree.parse(path.stem, _PLACEHOLDER_REVISION, text)
        if parsed.is_err():
            return result.Err(str(parsed.unwrap_err()[0]))
        for name, service in parsed.unwrap().services.items():
            if worker not in service.workers:
                continue
            remaining = [w for w in service.workers if w != worker]
            edit = Edit(
                str(path),
                path.stem,
                name,
                worker,
                len(remaining),
                service.floor,
            )
            if len(remaining) < max(1, service.floor):
                return result.Err(
                    f"{name} would keep {len(remaining)} workers; its floor is"
                    f" {service.floor}"
                )
            edit.text = _replace_workers(text, name, remaining)
            return result.Ok(edit)
    return result.Err(f"no service in {folder} lists the worker {worker}")


def _replace_workers(text: str, service: str, workers: list[str]) -> str:
    section_start = text.index(f"[service {service}]")
    next_section = _SECTION_START.search(text, section_start + 1)
    section_end = next_section.start() if next_section else len(text)
    section = text[section_start:section_end]
    if not section.endswith("\n"):
        section += "\n"
    edited = _WORKERS_KEY.sub(
        lambda match: _format_workers(workers), section, count=1
    )
    return text[:section_start] + edited + text[section_end:]


def _format_workers(workers: list[str]) -> str:
    lines = ["workers ="]
    for worker in workers:
        item = f" {worker},"
        if (
            lines[-1] == "workers ="
            or len(lines[-1] + item) > _MAX_LINE_COLUMNS
        ):
            lines.append("   " + item)
        else:
            lines[-1] += item
    lines[-1] = lines[-1].removesuffix(",")
    return "\n".join(lines) + "\n"
