"""Failure detector of the network paths from an ingress to owners.

A failed path is not counted as evidence against the targets behind it.
"""

from __future__ import annotations

import dataclasses

SUSPECT_AFTER_S = 0.8
PROBE_AFTER_S = 0.3
_MIN_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 10.0
_BACKOFF_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Path:
    unanswered_since: list[float]
    last_frame_at: float = float("-inf")
    suspected: bool = False
    suspected_since: float = 0.0
    next_probe_at: float = 0.0
    backoff_s: float = _MIN_BACKOFF_S
    last_probe_at: float = float("-inf")


class PathMonitor:
    """Suspects nodes from which no frames arrive.

    Any frame from a node clears the suspicion. A node that refuses a request
    with the advice to retry later is reachable, whatever state its targets
    are in.
    """

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}

    def request_sent(self, node: str, now: float) -> None:
        """Counts a frame to which the node must reply."""
        path = self._paths.get(node)
        if path is None:
            path = _Path([])
            self._paths[node] = path
        path.unanswered_since.append(now)

    def wait_ended(self, node: str, sent_at: float, now: float) -> None:
        """Ends the wait for the reply to a frame.

        Args:
            node: Name of the node.
            sent_at: Monotonic time at which the frame was sent, in s.
            now: Monotonic time in s.
        """
        path = self._paths.get(node)
        if path is None:
            return
        self._check_silence(path, now)
        if sent_at in path.unanswered_since:
            path.unanswered_since.remove(sent_at)

    def exchange_finished(
        self,
        node: str,
        sent_at: float,
        last_frame_at: float | None,
        path_failed: bool,
        now: float,
    ) -> None:
        """Updates the path to a node at the end of an exchange.

        Args:
            node: Name of the node.
            sent_at: Monotonic time at which the exchange began, in s.
            last_frame_at: Monotonic time of the last frame from the node, in
                s; None if there was none.
            path_failed: Whether the exchange is evidence of a failed path.
            now: Monotonic time in s.
        """
        if last_frame_at is not None:
            self.frame_received(node, last_frame_at)
        if path_failed:
            self.send_failed(node, now)
        self.wait_ended(node, sent_at, now)

    def frame_received(self, node: str, at: float) -> None:
        """Counts a frame from a node, and clears the suspicion of its path.

        Args:
            node: Name of the node.
            at: Monotonic time of the receipt, in s.
        """
        path = self._paths.get(node)
        if path is None:
            return
        if at <= path.last_frame_at:
            return
        path.last_frame_at = at
        path.suspected = False
        path.backoff_s = _MIN_BACKOFF_S

    def forget(self, node: str) -> None:
        """Removes a node that is no longer a member."""
        self._paths.pop(node, None)

    def send_failed(self, node: str, now: float) -> None:
        """Counts a frame that could not be sent.

        Nodes from which no frame has ever arrived are not suspected, because
        their link may still be opening.
        """
        path = self._paths.get(node)
        if path is not None and path.last_frame_at > float("-inf"):
            self._suspect(path, now)

    def is_suspected(self, node: str, now: float) -> bool:
        """Returns whether the path to a node is suspected to have failed."""
        path = self._paths.get(node)
        if path is None:
            return False
        self._check_silence(path, now)
        return path.suspected

    def start_due_probes(self, now: float) -> list[str]:
        """Returns the nodes to ping now, and schedules their next probes.

        Nodes with an unanswered frame are due after PROBE_AFTER_S, suspected
        nodes at exponentially growing intervals.
        """
        due = []
        for node, path in self._paths.items():
            if path.suspected:
                if now < path.next_probe_at:
                    continue
                path.backoff_s = min(
                    path.backoff_s * _BACKOFF_FACTOR, _MAX_BACKOFF_S
                )
                path.next_probe_at = now + path.backoff_s
            elif (
                self._silence_s(path, now) < PROBE_AFTER_S
                or now - path.last_probe_at < PROBE_AFTER_S
            ):
                continue
            path.last_probe_at = now
            due.append(node)
        return due

    def _silence_s(self, path: _Path, now: float) -> float:
        """Returns how long a node has been silent, in s.

        Returns:
            The age of the oldest unanswered frame that was sent after the last
            frame from the node; 0 if there is none.
        """
        waiting = [t for t in path.unanswered_since if t > path.last_frame_at]
        if not waiting:
            return 0.0
        return now - min(waiting)

    def _check_silence(self, path: _Path, now: float) -> None:
        if not path.suspected and self._silence_s(path, now) >= SUSPECT_AFTER_S:
            self._suspect(path, now)

    def _suspect(self, path: _Path, now: float) -> None:
        if path.suspected:
            return
        path.suspected = True
        path.suspected_since = now
        path.next_probe_at = now + path.backoff_s
