"""What workers announce of themselves in the headers of their responses."""

from __future__ import annotations

import dataclasses
import logging
import math
import re
from typing import TYPE_CHECKING

from sardinedoor_schema import codes

if TYPE_CHECKING:
    from tornado import httputil

    from sardinedoor_node import metrics
    from sardinedoor_node.owner import target

logger = logging.getLogger(__name__)

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# A worker counts as draining for this long after its last response that said so;
# then a request may try it again.
LEAVING_LEASE_S = 30.0
# Other responses may be spoiled on the way, or come from another worker.
_WORKER_RESPONSES = frozenset({codes.Code.ANSWERED, codes.Code.TARGET_REFUSED})
# Bounds the length of a log line.
_MAX_LOGGED_CHARACTERS = 80


@dataclasses.dataclass(slots=True)
class Announcement:
    """The announcements in the headers of one response.

    Attributes:
        rate_limit: Requests per second that the worker accepts from all nodes
            together; None if it announces no limit.
        leaving: Whether the worker is draining.
        invalid: Why headers can't be interpreted, by the name of the header. A
            response with one announces neither a limit nor the end of one.
    """

    rate_limit: float | None = None
    leaving: bool = False
    invalid: dict[str, str] = dataclasses.field(default_factory=dict)

    def read_rate_limit(self, headers: httputil.HTTPHeaders, name: str) -> None:
        """Reads the rate limit from a header, if it is there.

        Args:
            headers: Headers of the response.
            name: Name of the header.
        """
        text = headers.get(name)
        if text is None:
            return
        if _DECIMAL.fullmatch(text):
            self.rate_limit = float(text)
        else:
            self.invalid[name] = f"{text!r} is not a decimal number"


class AnnouncedState:
    """The latest announcements of one worker.

    Attributes:
        rate_limit: Requests per second that it accepts; None without a limit.
        unheard: Whether it hasn't responded yet, so that a limit is known only
            from ingresses.
    """

    def __init__(
        self,
        worker: str,
        counters: metrics.Metrics | None = None,
        leaving_lease_s: float = LEAVING_LEASE_S,
    ):
        """Starts without announcements.

        Args:
            worker: Name of the worker.
            counters: Counts changes; None for no counters.
            leaving_lease_s: How long the worker counts as draining after its
                last response that said so, in s; infinite if `reset` tells
                that it was started again.
        """
        self._worker = worker
        self._metrics = counters
        self._leaving_lease_s = leaving_lease_s
        self._limited_since = 0.0
        self._leaving_since = math.inf
        self._leaving_until = -math.inf
        self._last_invalid: dict[str, str] = {}
        self._adopted_learned_at = -math.inf
        self.rate_limit: float | None = None
        self.unheard = True

    def observe(
        self, reply: target.TargetReply, sent_at: float, now: float
    ) -> None:
        """Updates the state from a reply.

        Args:
            reply: Reply to a request or a probe. Replies that aren't a complete
                response of this worker are ignored.
            sent_at: When the request was sent, monotonic, in s.
            now: Monotonic time, in s.
        """
        if not reply.status or reply.code not in _WORKER_RESPONSES:
            return
        announcement = reply.announcement
        if announcement.invalid:
            self._record_invalid(announcement.invalid)
        else:
            self.unheard = False
            self._set_rate_limit(announcement.rate_limit, now)
        if announcement.leaving:
            self._set_leaving(now)
        elif sent_at > self._leaving_since and not announcement.invalid:
            # Responses to earlier requests may have been sent before it.
            self._leaving_since = math.inf
            self._leaving_until = -math.inf

    def reset(self, now: float) -> None:
        """Forgets what the worker announced before it was started again.

        Args:
            now: Monotonic time, in s.
        """
        self._leaving_since = math.inf
        self._leaving_until = -math.inf
        self._set_rate_limit(None, now)
        # What ingresses have learned before speaks of the earlier run.
        self._adopted_learned_at = now
        self.unheard = True

    def adopt_rate_limit(
        self, rate_limit: float, age_s: float, now: float
    ) -> None:
        """Takes over the limit that an ingress knows of.

        An owner that was restarted knows no limit until the first response of
        its worker. Until then the limit that was learned last applies.

        Args:
            rate_limit: Requests per second.
            age_s: Time since the ingress learned of it, in s.
            now: Monotonic time, in s.
        """
        learned_at = now - age_s
        if not self.unheard or learned_at <= self._adopted_learned_at:
            return
        self._adopted_learned_at = learned_at
        if rate_limit == self.rate_limit:
            return
        logger.info(
            "worker limit adopted",
            extra={
                "worker": self._worker,
                "rate_limit": rate_limit,
                "age_ms": round(1000 * age_s),
            },
        )
        self._set_rate_limit(rate_limit, now)

    def is_leaving(self, now: float) -> bool:
        """Returns whether the worker has announced that it is draining.

        Args:
            now: Monotonic time, in s.
        """
        return now < self._leaving_until

    def _set_leaving(self, now: float) -> None:
        if not self.is_leaving(now):
            self._leaving_since = now
            self._record_change("worker is leaving", "worker_leaving", {})
        self._leaving_until = now + self._leaving_lease_s

    def _set_rate_limit(self, rate_limit: float | None, now: float) -> None:
        if rate_limit == self.rate_limit:
            return
        previous, self.rate_limit = self.rate_limit, rate_limit
        if rate_limit is None:
            self._record_change(
                "worker limit ended",
                "worker_limit_ended",
                {"limited_ms": round(1000 * (now - self._limited_since))},
            )
        else:
            if previous is None:
                self._limited_since = now
            self._record_change(
                "worker limited",
                "worker_limited",
                {"rate_limit": rate_limit, "previous": previous},
            )
        if self._metrics is not None:
            self._metrics.rate_limit(self._worker, rate_limit)

    def _record_invalid(self, invalid: dict[str, str]) -> None:
        if self._metrics is not None:
            self._metrics.event("announcement_ignored")
        if invalid == self._last_invalid:
            return
        self._last_invalid = invalid
        for name, reason in invalid.items():
            logger.warning(
                "announcement ignored",
                extra={
                    "worker": self._worker,
                    "header": name,
                    "reason": reason[:_MAX_LOGGED_CHARACTERS],
                },
            )

    def _record_change(
        self, message: str, event: str, inputs: dict[str, object]
    ) -> None:
        logger.info(message, extra={"worker": self._worker, **inputs})
        if self._metrics is not None:
            self._metrics.event(event)
