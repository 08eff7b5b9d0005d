"""Quarantine of requests that crash their targets."""

from __future__ import annotations

import collections
import dataclasses
import secrets
from typing import TYPE_CHECKING

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock

CRASH_LIMIT = 2
QUARANTINE_MS = 60_000
# For this long after an answer, a crash isn't attributed to the request.
IMMUNITY_MS = 10_000
_CRASH_ID_BYTES = 8
_MAX_SUSPECTS = 1_024
_MAX_ANSWERED = 2_048


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request that was running when a target crashed.

    Attributes:
        service: The service of the request.
        crashes: Ids of the crashes.
        expires_at: When the suspicion expires, monotonic, in s.
        trial_ends: Latest end of the running trial, monotonic, in s; 0 for
            none.
    """

    service: str
    crashes: set[bytes]
    expires_at: float
    trial_ends: float = 0.0


class CrashQuarantine:
    """Stops requests that crash their targets from crashing further ones.

    A request that was running when its target crashed is a suspect. It may run
    once more, at one target at a time; this run is its trial. After
    `CRASH_LIMIT` crashes it is refused until the quarantine expires. A request
    that a target has just answered can't become a suspect.
    """

    def __init__(
        self,
        notify: Callable[[wire.CrashNotice], None],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Starts without suspects.

        Args:
            notify: Sends a notice to the other owners of a service.
            counters: Metrics of the node.
            time: The clock.
        """
        self._notify = notify
        self._metrics = counters
        self._clock = time
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def is_refused(self, fingerprint: bytes) -> bool:
        """Returns whether a request is quarantined or in a trial elsewhere."""
        suspect = self._find(fingerprint)
        if suspect is None:
            return False
        if len(suspect.crashes) >= CRASH_LIMIT:
            return True
        return suspect.trial_ends > self._clock.monotonic()

    def on_run_started(self, fingerprint: bytes, remaining_s: float) -> None:
        """Starts the trial and notifies the other owners, if it is a suspect.

        Args:
            fingerprint: Digest of the request.
            remaining_s: Time left until its deadline, in s.
        """
        suspect = self._find(fingerprint)
        if suspect is None:
            return
        suspect.trial_ends = self._clock.monotonic() + remaining_s
        self._publish(fingerprint, suspect)

    def on_run_answered(self, service: str, fingerprint: bytes) -> None:
        """Clears a suspect that a target answered, unless it is quarantined."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = self._clock.monotonic()
        if len(self._answered_at) > _MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        if self._clear(fingerprint):
            notice = wire.CrashNotice(service, fingerprint, 0, answered=True)
            self._notify(notice)

    def on_crash(self, service: str, fingerprint: bytes) -> None:
        """Records that the target crashed while it ran a request."""
        self._metrics.event("target_crashed")
        if self._was_answered_recently(fingerprint):
            return
        new_crash_ids = {secrets.token_bytes(_CRASH_ID_BYTES)}
        suspect = self._add_crashes(
            service, fingerprint, new_crash_ids, QUARANTINE_MS
        )
        suspect.trial_ends = 0.0
        self._publish(fingerprint, suspect)

    def on_run_ended(self, fingerprint: bytes) -> None:
        """Ends the trial of a suspect that was neither answered nor crashed."""
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.trial_ends:
            suspect.trial_ends = 0.0
            self._publish(fingerprint, suspect)

    def on_notice(
        self, channel: link.Channel, notice: wire.CrashNotice
    ) -> None:
        """Merges the state of a suspect from the notice of another owner."""
        del channel
        if notice.answered:
            self._clear(notice.fingerprint)
            return
        if self._was_answered_recently(notice.fingerprint):
            return
        lapse_ms = min(notice.lapse_ms, QUARANTINE_MS)
        suspect = self._add_crashes(
            notice.service, notice.fingerprint, set(notice.crashes), lapse_ms
        )
        suspect.trial_ends = self._clock.monotonic() + notice.trial_ms / 1000

    def on_link_change(self, peer: str, change: link.LinkChange) -> None:
        """Tells a peer of all suspects, since it may have started again.

        Args:
            peer: Name of the link.
            change: Whether the link was opened or lost.
        """
        del peer
        if not change.is_open:
            return
        now = self._clock.monotonic()
        for fingerprint, suspect in self._suspects.items():
            if suspect.expires_at > now:
                change.channel.send(self._make_notice(fingerprint, suspect))

    def _find(self, fingerprint: bytes) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= self._clock.monotonic():
            del self._suspects[fingerprint]
            return None
        return suspect

    def _add_crashes(
        self,
        service: str,
        fingerprint: bytes,
        crashes: set[bytes],
        lapse_ms: int,
    ) -> _Suspect:
        expires_at = self._clock.monotonic() + lapse_ms / 1000
        suspect = self._find(fingerprint)
        if suspect is None:
            suspect = _Suspect(service, set(), expires_at)
            self._suspects[fingerprint] = suspect
            if len(self._suspects) > _MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        crash_count = len(suspect.crashes)
        suspect.crashes |= crashes
        suspect.expires_at = max(suspect.expires_at, expires_at)
        if crash_count < CRASH_LIMIT <= len(suspect.crashes):
            self._metrics.event("request_quarantined")
        return suspect

    def _clear(self, fingerprint: bytes) -> bool:
        suspect = self._find(fingerprint)
        if suspect is None or len(suspect.crashes) >= CRASH_LIMIT:
            return False
        del self._suspects[fingerprint]
        return True

    def _was_answered_recently(self, fingerprint: bytes) -> bool:
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is None:
            return False
        return self._clock.monotonic() - answered_at < IMMUNITY_MS / 1000

    def _publish(self, fingerprint: bytes, suspect: _Suspect) -> None:
        self._notify(self._make_notice(fingerprint, suspect))

    def _make_notice(
        self, fingerprint: bytes, suspect: _Suspect
    ) -> wire.CrashNotice:
        now = self._clock.monotonic()
        return wire.CrashNotice(
            suspect.service,
            fingerprint,
            max(0, int((suspect.expires_at - now) * 1000)),
            sorted(suspect.crashes)[:CRASH_LIMIT],
            max(0, int((suspect.trial_ends - now) * 1000)),
        )
