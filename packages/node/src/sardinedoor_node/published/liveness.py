"""Which of the listed peers have a node that still answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_node.util import clock

_MIN_SILENCE_S = 30.0
# Digests go to random peers, so that each one is heard less often in a larger
# failure domain. Several times the mean interval at which a peer is heard.
_SILENCE_PER_PEER_S = 1.5


class PeerLiveness:
    """Remembers when each peer was last heard.

    A peer that was just listed counts as live until it has been silent for as
    long as one that was heard. An entry without a node therefore counts only
    for that time.
    """

    def __init__(self, time: clock.Clock):
        """Starts without peers.

        Args:
            time: Source of the monotonic time.
        """
        self._clock = time
        self._listed_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}

    def heard(self, name: str) -> None:
        """Records a sign of life of a peer."""
        self._heard_at[name] = self._clock.monotonic()

    def left(self, name: str) -> None:
        """Records that a peer is leaving; it is silent until heard again."""
        self._heard_at.pop(name, None)
        if name in self._listed_at:
            self._listed_at[name] = float("-inf")

    def list_peers(self, names: Iterable[str]) -> None:
        """Replaces the listed peers; those that were listed keep their times.

        Args:
            names: All peers that are listed now.
        """
        now = self._clock.monotonic()
        self._listed_at = {n: self._listed_at.get(n, now) for n in names}
        self._heard_at = {
            name: at
            for name, at in self._heard_at.items()
            if name in self._listed_at
        }

    def live(self, names: list[str]) -> list[str]:
        """Returns those of the names whose node is expected to answer."""
        oldest = self._clock.monotonic() - self._max_silence_s
        return [n for n in names if self._last_sign_at(n) >= oldest]

    def silent(self, names: list[str]) -> list[str]:
        """Returns those of the names from which nothing came for long."""
        oldest = self._clock.monotonic() - self._max_silence_s
        return [n for n in names if self._last_sign_at(n) < oldest]

    @property
    def _max_silence_s(self) -> float:
        return max(_MIN_SILENCE_S, _SILENCE_PER_PEER_S * len(self._heard_at))

    def _last_sign_at(self, name: str) -> float:
        listed_at = self._listed_at.get(name, float("-inf"))
        return max(listed_at, self._heard_at.get(name, float("-inf")))
