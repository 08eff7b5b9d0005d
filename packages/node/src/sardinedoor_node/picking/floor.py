"""Splits the targets of a service into those in and out of rotation.

The floor is the least number of targets that stay in rotation, even if some
of them are ejected.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@dataclasses.dataclass(slots=True)
class RotationSplit:
    """Names of the faulty targets of a service; all others are in rotation.

    Attributes:
        out: Faulty targets out of rotation.
        kept_by_floor: Faulty targets that stay in rotation because of the
            floor.
    """

    out: set[str]
    kept_by_floor: set[str]


def split(
    live: Collection[str], severities: Mapping[str, float], floor: int
) -> RotationSplit:
    """Removes the worst targets from rotation, as far as the floor permits.

    Args:
        live: Names of the service's live targets that are not leaving.
        severities: Severity of the fault by name of each faulty target; the
            highest are removed first.
        floor: Least number of targets in rotation.

    Returns:
        The split; no target is out if there are no more than the floor.
    """
    max_out = max(0, len(live) - floor)
    faulty = [name for name in live if name in severities]
    worst_first = sorted(faulty, key=lambda name: (-severities[name], name))
    return RotationSplit(set(worst_first[:max_out]), set(worst_first[max_out:]))
