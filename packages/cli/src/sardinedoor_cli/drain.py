"""Takes workers out of their service by an edit of the settings."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import result

from sardinedoor_node.settings import tree

_REVISION = 1
_WORKERS = re.compile(r"^workers\s*=.*\n(?:[ \t]+.*\n)*", re.MULTILINE)
_SECTION = re.compile(r"^\[", re.MULTILINE)
_COLUMNS = 72


@dataclasses.dataclass(slots=True)
class Edit:
    """An edit of one team's file.

    Attributes:
        left: Number of workers that the service keeps.
        floor: Least number of workers that the team wants in rotation.
    """

    file: str
    team: str
    service: str
    worker: str
    left: int
    floor: int
    text: str = ""


def drain(folder: pathlib.Path, worker: str) -> result.Result[Edit, str]:
    """Takes a worker out of the list of its service; writes nothing.

    Args:
        folder: A settings tree.
        worker: Name of the worker.

    Returns:
        The edit, or why it can't be made: the worker is in no service, the
        file holds faults, or the service would fall below its floor.
    """
    for path in sorted(folder.glob("*.ini")):
        text = path.read_text()
        parsed = tree.parse(path.stem, _REVISION, text)
        if parsed.is_err():
            return result.Err(str(parsed.unwrap_err()[0]))
        for name, service in parsed.unwrap().services.items():
            if worker not in service.workers:
                continue
            left = [w for w in service.workers if w != worker]
            edit = Edit(
                str(path), path.stem, name, worker, len(left), service.floor
            )
            if len(left) < max(1, service.floor):
                return result.Err(
                    f"{name} would keep {len(left)} workers; its floor is"
                    f" {service.floor}"
                )
            edit.text = _replace(text, name, left)
            return result.Ok(edit)
    return result.Err(f"no service in {folder} has the worker {worker}")


def _replace(text: str, service: str, workers: list[str]) -> str:
    begin = text.index(f"[service {service}]")
    after = _SECTION.search(text, begin + 1)
    end = after.start() if after else len(text)
    section = text[begin:end]
    if not section.endswith("\n"):
        section += "\n"
    edited = _WORKERS.sub(lambda match: _lines(workers), section, count=1)
    return text[:begin] + edited + text[end:]


def _lines(workers: list[str]) -> str:
    lines = ["workers ="]
    for worker in workers:
        addition = f" {worker},"
        if lines[-1] == "workers =" or len(lines[-1] + addition) > _COLUMNS:
            lines.append("   " + addition)
        else:
            lines[-1] += addition
    lines[-1] = lines[-1].removesuffix(",")
    return "\n".join(lines) + "\n"
