"""Reads a deployment: its failure domains, load and settings tree."""

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
    """Section [deployment]."""

    region: str
    failure_domains: list[str]
    nodes_per_domain: int
    domain_delay_ms: float
    client_delay_ms: float
    gray_service: str


class Flow(msgspec.Struct, forbid_unknown_fields=True):
    """Section [flow NAME]: one kind of request at a steady rate."""

    service: str
    method: str
    path: str
    rate_per_s: float
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Deployment:
    """A deployment, ready to be started small on one machine."""

    name: str
    layout: Layout
    flows: dict[str, Flow]
    settings: dict[str, str]

    def plan(self) -> fleet.Plan:
        """Spreads the workers of each service over the failure domains."""
        nodes = self._nodes()
        number = 0
        for team, text in self.settings.items():
            subtree = tree.parse(team, 1, text).unwrap()
            for name, service in subtree.services.items():
                for worker in service.workers:
                    node = nodes[number % len(nodes)]
                    node.workers.append(fleet.WorkerPlan(worker, name))
                    number += 1
        return fleet.Plan(nodes, self.settings, self.layout.domain_delay_ms)

    def _nodes(self) -> list[fleet.NodePlan]:
        layout = self.layout
        return [
            fleet.NodePlan(f"{domain}-{n}", layout.region, domain, [])
            for n in range(layout.nodes_per_domain)
            for domain in layout.failure_domains
        ]


class DeploymentError(Exception):
    """A deployment's files hold faults."""


def load(folder: pathlib.Path) -> Deployment:
    """Reads a deployment's folder.

    Args:
        folder: Holds deployment.ini, and settings/ with a file per team.

    Returns:
        The deployment.

    Raises:
        DeploymentError: A file holds faults; the message lists them.
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
    texts = {
        p.stem: p.read_text()
        for p in sorted((folder / _SETTINGS).glob("*.ini"))
    }
    return Deployment(folder.name, layout, flows, texts)
