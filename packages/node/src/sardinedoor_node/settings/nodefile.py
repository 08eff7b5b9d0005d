"""The node's own settings file."""

from __future__ import annotations

import dataclasses
import pathlib

import result

from sardinedoor_schema import ini
from sardinedoor_schema.generated import settings

_WORKER_PREFIX = "worker "


@dataclasses.dataclass(slots=True)
class NodeFile:
    """What a node knows from its own file."""

    node: settings.NodeSettings
    workers: dict[str, settings.WorkerSettings]


def parse(file: str, text: str) -> result.Result[NodeFile, list[ini.Fault]]:
    """Parses a node's settings.

    Args:
        file: Name used in faults.
        text: The INI text.

    Returns:
        The settings, or all faults.
    """
    reader = ini.Reader(file, text)
    node = reader.convert("node", settings.NodeSettings)
    workers = {}
    for section in reader.sections():
        if section == "node":
            continue
        if not section.startswith(_WORKER_PREFIX):
            reader.fault(section, "", "unknown section")
            continue
        worker = reader.convert(section, settings.WorkerSettings)
        if worker is not None:
            workers[section.removeprefix(_WORKER_PREFIX)] = worker
    if reader.faults or node is None:
        return result.Err(reader.faults)
    return result.Ok(NodeFile(node, workers))


def load(
    path: pathlib.Path,
) -> result.Result[NodeFile, list[ini.Fault]]:
    """Reads and parses a node's settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        return result.Err([ini.Fault(str(path), "", "", str(e))])
    return parse(str(path), text)
