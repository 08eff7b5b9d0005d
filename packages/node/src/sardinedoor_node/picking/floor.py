"""Which targets of a service are in rotation, given its floor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@dataclasses.dataclass(slots=True)
class Rotation:
    """The split of a service's live, non-leaving targets.

    Attributes:
        out: Targets out of rotation.
        held: Targets that stay in rotation only for the floor.
    """

    out: set[str]
    held: set[str]


def split(
    live: Collection[str], troubled: Mapping[str, float], floor: int
) -> Rotation:
    """Takes the worst targets out, as far as the floor allows.

    Args:
        live: Names of all live, non-leaving targets of the service.
        troubled: How bad each target in trouble is; higher is worse.
        floor: Least number of targets in rotation.

    Returns:
        The split; with no more live targets than the floor none is out.
    """
    allowed = max(0, len(live) - floor)
    present = [name for name in live if name in troubled]
    worst = sorted(present, key=lambda name: (-troubled[name], name))
    return Rotation(set(worst[:allowed]), set(worst[allowed:]))
