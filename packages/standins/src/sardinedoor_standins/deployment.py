"""Reads the files of a deployment: failure domains, load and settings."""

from __future__ import annotations

import dataclasses
import pathlib

import msgspec

from sardinedoor_node.settings import tree
from sardinedoor_schema import ini
from sardinedoor_standins import fleet

EXAMPLES = pathlib.Path("examples")
_FILE = "deployment.ini"
_SETTINGS = "settings"
_FLOW_PREFIX = "flow "


class Layout(msgspec.Struct, forbid_unknown_fields=True):
    """Section [deployment] of deployment.ini."""

    region: str
    failure_domains: list[str]
    nodes_per_domain: int
    domain_delay_ms: float
    client_delay_ms: float
    gray_service: str


class Flow(msgspec.Struct, forbid_unknown_fields=True):
    """Section [flow NAME]: requests of one kind and their mean rate."""

    service: str
    method: str
    path: str
    rate_per_s: float
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Deployment:
    """A deployment in a size that runs on one machine."""

    name: str
    layout: Layout
    flows: dict[str, Flow]
    settings: dict[str, str]

    def plan(self) -> fleet.Plan:
        """Builds a plan with the workers spread over the failure domains."""
        nodes = self._nodes()
        worker_index = 0
        for team, text in self.settings.items():
            subtree = tree.parse(team, 1, text).unwrap()
            for name, service in subtree.services.items():
                for worker in service.workers:
                    node = nodes[worker_index % len(nodes)]
                    node.workers.append(fleet.WorkerPlan(worker, name))
                    worker_index += 1
        return fleet.Plan(nodes, self.settings, self.layout.domain_delay_ms)

    def _nodes(self) -> list[fleet.NodePlan]:
        layout = self.layout
        return [
            fleet.NodePlan(f"{domain}-{n}", layout.region, domain, [])
            for n in range(layout.nodes_per_domain)
            for domain in layout.failure_domains
        ]


class DeploymentError(Exception):
    """The files of a deployment are invalid."""


def load(folder: pathlib.Path) -> Deployment:
    """Reads a deployment from its folder.

    Args:
        folder: Folder with deployment.ini, and settings/ with a file for each
            team.

    Returns:
        The deployment.

    Raises:
        DeploymentError: A file is missing or invalid; the message lists the
            faults.
    """
    path = folder / _FILE
    if not path.exists():
        raise DeploymentError(f"{path} is missing")
    reader = ini.Reader(str(path), path.read_text())
    layout = reader.convert("deployment", Layout)
    flows = {}
    for section in reader.sections():
        if section.startswith(_FLOW_PREFIX):
            name = section.removeprefix(_FLOW_PREFIX)
            flow = reader.convert(section, Flow)
            if flow is not None:
                flows[name] = flow
    if reader.faults or layout is None:
        raise DeploymentError("\n".join(str(f) for f in reader.faults))
    subtree_texts = {
        p.stem: p.read_text()
        for p in sorted((folder / _SETTINGS).glob("*.ini"))
    }
    return Deployment(folder.name, layout, flows, subtree_texts)
