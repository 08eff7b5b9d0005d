"""Source mutations that disable one mechanism of the node each."""

from __future__ import annotations

import pathlib

from mechanisms import announced
from mechanisms import connections
from mechanisms import departures
from mechanisms import exchanges
from mechanisms import replicas
from mechanisms import routing

SOURCE_FOLDER = (
    pathlib.Path(__file__).resolve().parents[2] / "packages/node/src"
)
PACKAGE_NAME = "sardinedoor_node"
MECHANISMS = [
    *exchanges.MECHANISMS,
    *connections.MECHANISMS,
    *routing.MECHANISMS,
    *replicas.MECHANISMS,
    *announced.MECHANISMS,
    *departures.MECHANISMS,
]


def missing_texts() -> list[str]:
    """Names the mechanisms whose text isn't exactly once in the source."""
    package = SOURCE_FOLDER / PACKAGE_NAME
    return [
        mutation.name
        for mutation in MECHANISMS
        if (package / mutation.file).read_text().count(mutation.old) != 1
    ]
