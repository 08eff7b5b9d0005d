"""Evidence on the path to an owner, kept apart from that on its targets."""

from __future__ import annotations

import dataclasses

SILENCE_S = 0.8
ASK_AFTER_S = 0.3
_BACKOFF_MIN_S = 0.5
_BACKOFF_MAX_S = 10.0
_BACKOFF_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Path:
    unanswered: list[float]
    heard_at: float = float("-inf")
    suspected: bool = False
    since: float = 0.0
    retry_at: float = 0.0
    backoff_s: float = _BACKOFF_MIN_S
    asked_at: float = float("-inf")


class PathEvidence:
    """Nodes from which nothing comes back.

    Any frame from a node clears it: a node that answers "ask me later" is
    reachable, whatever its targets do.
    """

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}

    def sent(self, node: str, now: float) -> None:
        """Counts a frame that expects an answer."""
        path = self._paths.get(node)
        if path is None:
            path = _Path([])
            self._paths[node] = path
        path.unanswered.append(now)

    def ended(self, node: str, sent_at: float, now: float) -> None:
        """Ends the wait for an answer to the frame sent at a time."""
        path = self._paths.get(node)
        if path is None:
            return
        self._judge(path, now)
        if sent_at in path.unanswered:
            path.unanswered.remove(sent_at)

    def finished(
        self,
        node: str,
        sent_at: float,
        heard_at: float | None,
        unreachable: bool,
        now: float,
    ) -> None:
        """Takes what one exchange says of the path to its node.

        Args:
            node: Name of the node.
            sent_at: When the exchange began, in s.
            heard_at: When the node last sent anything, in s; None for never.
            unreachable: Whether the exchange speaks against the path.
            now: Monotonic time, in s.
        """
        if heard_at is not None:
            self.heard(node, heard_at)
        if unreachable:
            self.refused(node, now)
        self.ended(node, sent_at, now)

    def heard(self, node: str, now: float) -> None:
        """Counts any frame from a node, received at a time."""
        path = self._paths.get(node)
        if path is None:
            return
        if now <= path.heard_at:
            return
        path.heard_at = now
        path.suspected = False
        path.backoff_s = _BACKOFF_MIN_S

    def forget(self, node: str) -> None:
        """Forgets a node that is no member any more."""
        self._paths.pop(node, None)

    def refused(self, node: str, now: float) -> None:
        """Counts a frame that could not be sent.

        A link that was never up may still be opening.
        """
        path = self._paths.get(node)
        if path is not None and path.heard_at > float("-inf"):
            self._suspect(path, now)

    def suspected(self, node: str, now: float) -> bool:
        """Tells whether to avoid a node now."""
        path = self._paths.get(node)
        if path is None:
            return False
        self._judge(path, now)
        return path.suspected

    def to_ask(self, now: float) -> list[str]:
        """Lists nodes to ask for a sign of life.

        Asked are those with an answer outstanding, and, at growing
        intervals, those suspected.
        """
        found = []
        for node, path in self._paths.items():
            if path.suspected:
                if now < path.retry_at:
                    continue
                path.backoff_s = min(
                    path.backoff_s * _BACKOFF_FACTOR, _BACKOFF_MAX_S
                )
                path.retry_at = now + path.backoff_s
            elif (
                self._silent_s(path, now) < ASK_AFTER_S
                or now - path.asked_at < ASK_AFTER_S
            ):
                continue
            path.asked_at = now
            found.append(node)
        return found

    def _silent_s(self, path: _Path, now: float) -> float:
        """Returns how long the oldest frame has had no frame after it."""
        waiting = [t for t in path.unanswered if t > path.heard_at]
        if not waiting:
            return 0.0
        return now - min(waiting)

    def _judge(self, path: _Path, now: float) -> None:
        if not path.suspected and self._silent_s(path, now) >= SILENCE_S:
            self._suspect(path, now)

    def _suspect(self, path: _Path, now: float) -> None:
        if path.suspected:
            return
        path.suspected = True
        path.since = now
        path.retry_at = now + path.backoff_s
