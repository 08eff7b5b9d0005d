"""Measurements of a run of the demo, and their table."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_standins import verdict

if TYPE_CHECKING:
    from sardinedoor_standins import load

DIRECT_PREFIX = "direct-"
_LABEL_COLUMNS = 34


@dataclasses.dataclass(slots=True)
class LatencyRow:
    """Latency of one flow through the fleet and directly to the targets."""

    flow: str
    requests: int
    p50_ms: float
    p99_ms: float
    direct_p50_ms: float
    direct_p99_ms: float

    @property
    def added_p50_ms(self) -> float:
        """Latency that the fleet adds at the median, in ms."""
        return self.p50_ms - self.direct_p50_ms

    @property
    def added_p99_ms(self) -> float:
        """Latency that the fleet adds at the 99th percentile, in ms."""
        return self.p99_ms - self.direct_p99_ms


def latency_rows(samples: list[load.Sample]) -> list[LatencyRow]:
    """Compares each flow with its counterpart sent directly to the targets.

    Args:
        samples: Requests of both, sent in the same period.

    Returns:
        A row for each flow that has a direct counterpart.
    """
    by_flow: dict[str, list[load.Sample]] = {}
    for sample in samples:
        by_flow.setdefault(sample.flow, []).append(sample)
    rows = []
    for flow, through in by_flow.items():
        direct = by_flow.get(DIRECT_PREFIX + flow)
        if direct is None:
            continue
        through_histogram = verdict.latency_histogram(through)
        direct_histogram = verdict.latency_histogram(direct)
        rows.append(
            LatencyRow(
                flow,
                through_histogram.get_total_count(),
                through_histogram.get_value_at_percentile(50) / 1000,
                through_histogram.get_value_at_percentile(99) / 1000,
                direct_histogram.get_value_at_percentile(50) / 1000,
                direct_histogram.get_value_at_percentile(99) / 1000,
            )
        )
    return rows


@dataclasses.dataclass(slots=True)
class Report:
    """Results of one run."""

    deployment: str
    counts: verdict.Counts
    gray: str
    detection: verdict.Detection | None
    false_ejections: list[str]
    stopped: str
    stop_exit_code: int
    latencies: list[LatencyRow]

    @property
    def broken(self) -> list[str]:
        """Names of the promises to callers that were broken."""
        broken = self.counts.broken
        if self.detection is None or not self.detection.detected:
            broken.append("detection")
        if self.stop_exit_code != 0:
            broken.append("planned stop")
        return broken

    def table(self) -> str:
        """Formats the results for a terminal."""
        lines = ["", f"Result for {self.deployment}"]
        for label, value in self._rows():
            lines.append(f"  {label:<{_LABEL_COLUMNS}} {value}")
        lines += ["", *self._latency_lines(), ""]
        broken = ", ".join(self.broken)
        lines.append(f"BROKEN: {broken}" if broken else "All promises held.")
        return "\n".join(lines)

    def _rows(self) -> list[tuple[str, str]]:
        counts = self.counts
        ejections = ", ".join(self.false_ejections)
        return [
            ("detection time", self._detection_text()),
            (
                "false ejections",
                f"{len(self.false_ejections)} {ejections}".rstrip(),
            ),
            ("requests", str(counts.requests)),
            ("  answered", f"{counts.answered} ({counts.errors} were 5xx)"),
            ("  not run", str(counts.not_run)),
            ("  unknown", str(counts.unknown)),
            ("  no node reached", str(counts.not_sent)),
            ("cut requests (must be 0)", str(counts.cut)),
            ("doubled runs (must be 0)", str(counts.doubled)),
            ("false 'not run' (must be 0)", str(counts.false_not_run)),
            ("foreign answers (must be 0)", str(counts.foreign)),
            (
                "planned stop",
                f"{self.stopped}, exit code {self.stop_exit_code}",
            ),
        ]

    def _detection_text(self) -> str:
        found = self.detection
        if found is None:
            return f"{self.gray} got no request"
        runs = f"{found.outcomes} failing requests"
        if not found.detected:
            return f"{self.gray} not ejected in {found.seconds:.1f} s, {runs}"
        return f"{found.seconds:.2f} s, {runs} ({self.gray})"

    def _latency_lines(self) -> list[str]:
        lines = [
            "  latency in ms       requests   p50    p99"
            "   direct p50    p99   added p50    p99"
        ]
        for row in self.latencies:
            lines.append(
                f"  {row.flow:<18} {row.requests:>9} {row.p50_ms:>5.1f}"
                f" {row.p99_ms:>6.1f} {row.direct_p50_ms:>12.1f}"
                f" {row.direct_p99_ms:>6.1f} {row.added_p50_ms:>11.1f}"
                f" {row.added_p99_ms:>6.1f}"
            )
        return lines
