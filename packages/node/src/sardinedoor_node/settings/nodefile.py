"""The node's own settings file."""

from __future__ import annotations

import dataclasses
import pathlib

import result

from sardinedoor_node.link import curve
from sardinedoor_node.settings import addresses
from sardinedoor_schema import faults
from sardinedoor_schema import ini
from sardinedoor_schema.generated import settings

_WORKER_PREFIX = "worker "


@dataclasses.dataclass(slots=True)
class NodeFile:
    """A node's own settings.

    Attributes:
        node: Settings of the [node] section.
        workers: Settings of the node's workers, by name.
        path: Path of the file.
    """

    node: settings.NodeSettings
    workers: dict[str, settings.WorkerSettings]
    path: str = ""


def parse(file: str, text: str) -> result.Result[NodeFile, list[ini.Fault]]:
    """Parses a node's settings.

    Args:
        file: Name of the file, for faults.
        text: The INI text.

    Returns:
        The settings, or all faults.
    """
    reader = ini.Reader(file, text)
    if reader.faults:
        return result.Err(reader.faults)
    node = reader.convert("node", settings.NodeSettings)
    workers = {}
    for section in reader.sections():
        if section == "node":
            continue
        if not section.startswith(_WORKER_PREFIX):
            reader.fault(
                section,
                "",
                "unknown section",
                faults.FaultCode.UNKNOWN_SECTION,
                allowed_values="[node], [worker NAME]",
            )
            continue
        worker = reader.convert(section, settings.WorkerSettings)
        if worker is not None:
            name = section.removeprefix(_WORKER_PREFIX)
            reader.check_name(section, "", name)
            workers[name] = worker
    addresses.check(reader)
    if node is not None:
        _check_keys(reader, node)
    if reader.faults or node is None:
        return result.Err(reader.faults)
    return result.Ok(NodeFile(node, workers, file))


def _check_keys(reader: ini.Reader, node: settings.NodeSettings) -> None:
    try:
        curve.from_settings(node)
    except ValueError as e:
        reader.fault("node", "link_secret_key", str(e))
    if bool(node.tls_certificate) != bool(node.tls_key):
        reader.fault(
            "node",
            "tls_key",
            "tls_certificate and tls_key must be set together",
        )


def load(
    path: pathlib.Path,
) -> result.Result[NodeFile, list[ini.Fault]]:
    """Reads and parses a node's settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or all faults.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        code = faults.FaultCode.UNREADABLE
        return result.Err([ini.Fault(str(path), "", "", str(e), code)])
    return parse(str(path), text)
