"""Compares what callers saw with the targets' own run logs."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

from sardinedoor_standins import load

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardinedoor_standins import target

_MAX_LATENCY_US = 60_000_000
_DIGITS = 3
# A target that gets no request for this long is out of rotation.
OUT_OF_ROTATION_S = 2.0


@dataclasses.dataclass(slots=True)
class Counts:
    """What became of all requests, and which promises were broken."""

    requests: int = 0
    answered: int = 0
    errors: int = 0
    not_run: int = 0
    unknown: int = 0
    not_sent: int = 0
    cut: int = 0
    doubled: int = 0
    false_not_run: int = 0
    foreign: int = 0

    @property
    def broken(self) -> list[str]:
        """Names of the promises that were broken."""
        names = ("cut", "doubled", "false_not_run", "foreign")
        return [name for name in names if getattr(self, name)]


def count(
    samples: Iterable[load.Sample], runs: dict[str, list[target.Run]]
) -> Counts:
    """Counts outcomes, and checks them against the run logs.

    Args:
        samples: What callers saw.
        runs: The run log of each target, by worker.

    Returns:
        The counts. A request was doubled if it isn't idempotent and ran more
        than once; it was falsely called not run if any target ran it.
    """
    ran: collections.Counter[str] = collections.Counter(
        run.request_id for log in runs.values() for run in log
    )
    counts = Counts()
    for sample in samples:
        times = ran[sample.request_id]
        counts.requests += 1
        counts.answered += sample.fate is load.Fate.ANSWERED
        counts.errors += sample.status >= 500 and (
            sample.fate is load.Fate.ANSWERED
        )
        counts.not_run += sample.fate is load.Fate.NOT_RUN
        counts.unknown += sample.fate is load.Fate.UNKNOWN
        counts.not_sent += sample.fate is load.Fate.NOT_SENT
        counts.cut += sample.fate is load.Fate.CUT
        counts.doubled += not sample.idempotent and times > 1
        counts.false_not_run += sample.fate is load.Fate.NOT_RUN and times > 0
        counts.foreign += sample.foreign
    return counts


@dataclasses.dataclass(slots=True)
class Detection:
    """How long a target that began to fail kept getting requests."""

    seconds: float
    outcomes: int
    detected: bool


def detection(
    log: list[target.Run], since: float, until: float
) -> Detection | None:
    """Reads the detection time from a target's run log.

    Args:
        log: Runs of the target in the order in which they began.
        since: When it began to fail, in s of the monotonic clock.
        until: When the load ended.

    Returns:
        Time and number of runs from the first one until the target got none
        for `OUT_OF_ROTATION_S`; None if it got none at all.
    """
    started = [r.started for r in log if since <= r.started <= until]
    if not started:
        return None
    for number, begin in enumerate(started, start=1):
        after = started[number] if number < len(started) else until
        if after - begin >= OUT_OF_ROTATION_S:
            return Detection(begin - started[0], number, True)
    return Detection(until - started[0], len(started), False)


def latencies(samples: Iterable[load.Sample]) -> histogram.HdrHistogram:
    """Collects the latencies of answered requests, in us."""
    collected = histogram.HdrHistogram(1, _MAX_LATENCY_US, _DIGITS)
    for sample in samples:
        if sample.fate is load.Fate.ANSWERED and sample.status < 500:
            collected.record_value(max(1, int(sample.latency_s * 1e6)))
    return collected
