"""Checks the results that callers saw against the targets' run logs."""

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
_SIGNIFICANT_DIGITS = 3
# A target without requests for this time counts as out of rotation.
OUT_OF_ROTATION_S = 2.0


@dataclasses.dataclass(slots=True)
class Counts:
    """Number of requests by result, and of broken promises.

    Attributes:
        requests: All requests.
        answered: Requests with a response from a target.
        errors: Answered requests with a status of 500 or more.
        not_run: Requests reported as not run.
        unknown: Requests with an unknown outcome.
        not_sent: Requests for which no entry accepted a connection.
        cut: Requests whose connection failed without a complete response.
        doubled: Requests that aren't idempotent and ran more than once.
        false_not_run: Requests reported as not run that a target ran.
        foreign: Responses that belong to another request.
    """

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
        """Names of the promises to callers that were broken."""
        names = ("cut", "doubled", "false_not_run", "foreign")
        return [name for name in names if getattr(self, name)]


def count_results(
    samples: Iterable[load.Sample], runs: dict[str, list[target.Run]]
) -> Counts:
    """Counts the results, and checks them against the run logs.

    Args:
        samples: Results that callers saw.
        runs: The run log of each target, by worker.

    Returns:
        The counts.
    """
    run_counts: collections.Counter[str] = collections.Counter(
        run.request_id for log in runs.values() for run in log
    )
    counts = Counts()
    for sample in samples:
        run_count = run_counts[sample.request_id]
        counts.requests += 1
        counts.answered += sample.fate is load.Fate.ANSWERED
        counts.errors += sample.status >= 500 and (
            sample.fate is load.Fate.ANSWERED
        )
        counts.not_run += sample.fate is load.Fate.NOT_RUN
        counts.unknown += sample.fate is load.Fate.UNKNOWN
        counts.not_sent += sample.fate is load.Fate.NOT_SENT
        counts.cut += sample.fate is load.Fate.CUT
        counts.doubled += not sample.idempotent and run_count > 1
        counts.false_not_run += (
            sample.fate is load.Fate.NOT_RUN and run_count > 0
        )
        counts.foreign += sample.foreign
    return counts


@dataclasses.dataclass(slots=True)
class Detection:
    """Detection time of a faulty target.

    Attributes:
        seconds: Time from its first request after the fault to the last one
            before it was out of rotation, in s.
        outcomes: Number of requests that it got in this time.
        detected: Whether it was taken out of rotation.
    """

    seconds: float
    outcomes: int
    detected: bool


def measure_detection(
    log: list[target.Run], since: float, until: float
) -> Detection | None:
    """Measures the detection time by a target's run log.

    Args:
        log: Runs of the target, ordered by their start.
        since: Start of the fault, in s of the monotonic clock.
        until: End of the load, in s of the monotonic clock.

    Returns:
        Time and number of runs until the first gap of `OUT_OF_ROTATION_S`;
        None if the target got no request after the start of the fault.
    """
    start_times = [r.started for r in log if since <= r.started <= until]
    if not start_times:
        return None
    for number, start in enumerate(start_times, start=1):
        next_start = start_times[number] if number < len(start_times) else until
        if next_start - start >= OUT_OF_ROTATION_S:
            return Detection(start - start_times[0], number, True)
    return Detection(until - start_times[0], len(start_times), False)


def latency_histogram(samples: Iterable[load.Sample]) -> histogram.HdrHistogram:
    """Builds a histogram of the latencies of successful requests, in us."""
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for sample in samples:
        if sample.fate is load.Fate.ANSWERED and sample.status < 500:
            latencies.record_value(max(1, int(sample.latency_s * 1e6)))
    return latencies
