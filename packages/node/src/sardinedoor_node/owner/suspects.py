"""Requests that were running when their target crashed."""

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
ANSWERED_MS = 10_000
_CRASH_ID_BYTES = 8
_MAX_SUSPECTS = 1_024
_MAX_ANSWERED = 2_048


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What is known of one fingerprint; times are monotonic, in s."""

    crashes: set[bytes]
    lapses: float
    trial_ends: float = 0.0


class Suspects:
    """Decides which requests may run, by the crashes they were seen at.

    After one crash a request gets one more target, and nobody else runs it
    meanwhile. After two it is refused until the quarantine lapses. A request
    that a target answered a moment ago isn't the cause of a crash.
    """

    def __init__(
        self,
        notify: Callable[[wire.CrashNotice], None],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Starts with no suspect.

        Args:
            notify: Sends a notice to the other owners of its service.
            counters: Where events are counted.
            time: The clock.
        """
        self._notify = notify
        self._metrics = counters
        self._clock = time
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._answered: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def is_refused(self, fingerprint: bytes) -> bool:
        """Tells whether a request must not run now."""
        suspect = self._find(fingerprint)
        if suspect is None:
            return False
        if len(suspect.crashes) >= CRASH_LIMIT:
            return True
        return suspect.trial_ends > self._clock.monotonic()

    def begin(
        self, service: str, fingerprint: bytes, remaining_s: float
    ) -> None:
        """Tells the others if the request that starts now is a suspect.

        Args:
            service: The service that runs it.
            fingerprint: Digest of the request.
            remaining_s: Longest time that it runs, in s.
        """
        suspect = self._find(fingerprint)
        if suspect is None:
            return
        suspect.trial_ends = self._clock.monotonic() + remaining_s
        self._tell(service, fingerprint, suspect, int(remaining_s * 1000))

    def answered(self, service: str, fingerprint: bytes) -> None:
        """Clears a request that a target survived."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = self._clock.monotonic()
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)
        if self._clear(fingerprint):
            notice = wire.CrashNotice(service, fingerprint, 0, answered=True)
            self._notify(notice)

    def crashed(self, service: str, fingerprint: bytes) -> None:
        """Counts a crash of the target that ran a request."""
        self._metrics.event("target_crashed")
        if self._answered_lately(fingerprint):
            return
        crash = {secrets.token_bytes(_CRASH_ID_BYTES)}
        suspect = self._add(fingerprint, crash, QUARANTINE_MS)
        suspect.trial_ends = 0.0
        self._tell(service, fingerprint, suspect, 0)

    def ended(self, service: str, fingerprint: bytes) -> None:
        """Ends the trial of a suspect without an answer or a crash."""
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.trial_ends:
            suspect.trial_ends = 0.0
            self._tell(service, fingerprint, suspect, 0)

    def on_notice(
        self, channel: link.Channel, notice: wire.CrashNotice
    ) -> None:
        """Takes what another owner tells; the crashes add up."""
        del channel
        if notice.answered:
            self._clear(notice.fingerprint)
            return
        if self._answered_lately(notice.fingerprint):
            return
        lapse_ms = min(notice.lapse_ms, QUARANTINE_MS)
        suspect = self._add(notice.fingerprint, set(notice.crashes), lapse_ms)
        suspect.trial_ends = self._clock.monotonic() + notice.trial_ms / 1000

    def _find(self, fingerprint: bytes) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.lapses <= self._clock.monotonic():
            del self._suspects[fingerprint]
            return None
        return suspect

    def _add(
        self, fingerprint: bytes, crashes: set[bytes], lapse_ms: int
    ) -> _Suspect:
        lapses = self._clock.monotonic() + lapse_ms / 1000
        suspect = self._find(fingerprint)
        if suspect is None:
            suspect = _Suspect(set(), lapses)
            self._suspects[fingerprint] = suspect
            if len(self._suspects) > _MAX_SUSPECTS:
                self._suspects.popitem(last=False)
        before = len(suspect.crashes)
        suspect.crashes |= crashes
        suspect.lapses = max(suspect.lapses, lapses)
        if before < CRASH_LIMIT <= len(suspect.crashes):
            self._metrics.event("request_quarantined")
        return suspect

    def _clear(self, fingerprint: bytes) -> bool:
        suspect = self._find(fingerprint)
        if suspect is None or len(suspect.crashes) >= CRASH_LIMIT:
            return False
        del self._suspects[fingerprint]
        return True

    def _answered_lately(self, fingerprint: bytes) -> bool:
        answered = self._answered.get(fingerprint)
        if answered is None:
            return False
        return self._clock.monotonic() - answered < ANSWERED_MS / 1000

    def _tell(
        self,
        service: str,
        fingerprint: bytes,
        suspect: _Suspect,
        trial_ms: int,
    ) -> None:
        left_s = suspect.lapses - self._clock.monotonic()
        notice = wire.CrashNotice(
            service,
            fingerprint,
            max(0, int(left_s * 1000)),
            sorted(suspect.crashes)[:CRASH_LIMIT],
            trial_ms,
        )
        self._notify(notice)
