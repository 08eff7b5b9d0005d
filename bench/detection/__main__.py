"""Simulates the grid of faults and prints tables in reStructuredText."""

from __future__ import annotations

import argparse
import collections
import multiprocessing
import statistics
import sys
import time

from detection import faults
from detection import feed
from detection import paths
from detection import stream
from sardinedoor_node.health import consecutive
from sardinedoor_node.health import window

_POOL_SIZES = (20, 6, 14, 8)
_LOADS_PER_S = (1.0, 5.0)
_GOAL_SEED_COUNT = 100
_OUTCOMES_PER_STREAM = 300_000
_STREAM_COUNTS = {
    "agora": 4,
    "lone star": 10,
    "five errors": 3,
    "10 s window": 3,
}
_FLAP_CYCLE_COUNT = 4


def _run_case(case: feed.Case) -> feed.Verdict:
    return feed.Feed(case).run()


def _run_flap_cycles(case: feed.Case) -> feed.Verdict:
    return feed.Feed(case, _FLAP_CYCLE_COUNT).run()


def _count_alarms(job: tuple[str, int]) -> tuple[str, int]:
    name, seed = job
    baseline_classes = {
        "five errors": consecutive.ConsecutiveDetector,
        "10 s window": window.WindowDetector,
    }
    sensitivity = 1.0 if name == "agora" else 0.0
    alarm_count = stream.alarms(
        sensitivity, seed, _OUTCOMES_PER_STREAM, baseline_classes.get(name)
    )
    return name, alarm_count


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _print_table(header: list[str], rows: list[list[str]]) -> None:
    print(".. list-table::\n   :header-rows: 1\n")
    for row in [header, *rows]:
        for number, cell in enumerate(row):
            print(f"   {'* -' if number == 0 else '  -'} {cell}")
    print()


def _format_cell(verdicts: list[feed.Verdict]) -> str:
    kind = faults.KINDS[verdicts[0].case.kind]
    if kind.ejections_are_false:
        return str(sum(v.false_ejections for v in verdicts))
    detected = [v for v in verdicts if v.seconds is not None]
    missed = len(verdicts) - len(detected)
    if missed > len(verdicts) / 20:
        return f"missed {missed} of {len(verdicts)}"
    seconds = [v.seconds for v in detected]
    outcomes = [v.outcomes for v in detected]
    return (
        f"{statistics.median(seconds):.1f} / {_quantile(seconds, 0.95):.1f} s,"
        f" {statistics.median(outcomes):.0f} /"
        f" {_quantile(outcomes, 0.95):.0f}"
    )


def _print_grid(verdicts: list[feed.Verdict]) -> None:
    groups = collections.defaultdict(list)
    for verdict in verdicts:
        case = verdict.case
        groups[case.load, case.kind, case.pool, case.detector].append(verdict)
    for load in _LOADS_PER_S:
        print(f"{load:g} requests a second per worker:\n")
        rows = [
            [kind, str(pool)]
            + [
                _format_cell(groups[load, kind, pool, d])
                for d in feed.DETECTORS
            ]
            for kind in faults.KINDS
            for pool in _POOL_SIZES
        ]
        _print_table(["kind", "pool", *feed.DETECTORS], rows)


def _print_detection_goals(verdicts: list[feed.Verdict]) -> None:
    groups = collections.defaultdict(list)
    for verdict in verdicts:
        groups[verdict.case.kind, verdict.case.detector].append(verdict)
    kinds = dict.fromkeys(kind for kind, _ in groups)
    rows = [
        [kind] + [_format_cell(groups[kind, d]) for d in feed.DETECTORS]
        for kind in kinds
    ]
    print(f"{_GOAL_SEED_COUNT} seeds, pool of 6, 5 requests a second each:\n")
    _print_table(["kind", *feed.DETECTORS], rows)


def _print_false_alarms(
    verdicts: list[feed.Verdict], alarms: list[tuple[str, int]]
) -> None:
    rows = []
    for name in feed.DETECTORS:
        of_detector = [v for v in verdicts if v.case.detector == name]
        healthy_outcomes = sum(v.healthy_outcomes for v in of_detector)
        false_ejections = sum(v.false_ejections for v in of_detector)
        stream_alarms = sum(count for n, count in alarms if n == name)
        stream_outcomes = _STREAM_COUNTS[name] * _OUTCOMES_PER_STREAM
        rows.append(
            [
                name,
                f"{false_ejections} in {healthy_outcomes}",
                f"{stream_alarms} in {stream_outcomes}"
                f" ({stream_alarms / stream_outcomes * 1e6:.2f})",
                str(sum(v.late_work for v in of_detector)),
                str(
                    sum(
                        v.least_rotation < feed.FLOORS[v.case.pool]
                        for v in of_detector
                    )
                ),
            ]
        )
    _print_table(
        [
            "detector",
            "false ejections in the grid",
            "alarms on healthy streams (per million)",
            "requests run after ejection",
            "runs below the floor",
        ],
        rows,
    )


def _print_flap_shares(verdicts: list[feed.Verdict]) -> None:
    groups = collections.defaultdict(list)
    for verdict in verdicts:
        groups[verdict.case.kind, verdict.case.detector].append(verdict.shares)
    rows = []
    for (kind, detector), runs in groups.items():
        cycles = zip(*runs, strict=True)
        shares = [f"{statistics.mean(c):.2f}" for c in cycles]
        rows.append([kind, detector, ", ".join(shares)])
    _print_table(["kind", "detector", "share of a fair share, by cycle"], rows)


def main() -> None:
    """Runs all simulations and prints their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=8)
    options = parser.parse_args()
    started = time.monotonic()
    cases = [
        feed.Case(kind, detector, pool, load, seed)
        for kind in faults.KINDS
        for detector in feed.DETECTORS
        for pool in _POOL_SIZES
        for load in _LOADS_PER_S
        for seed in range(options.seeds)
    ]
    flap_cases = [
        feed.Case(kind, detector, 6, 5.0, seed)
        for kind in ("flaps 5 s", "flaps 30 s")
        for detector in feed.DETECTORS
        for seed in range(8)
    ]
    stream_jobs = [(d, s) for d, n in _STREAM_COUNTS.items() for s in range(n)]
    goal_cases = [
        feed.Case(kind, detector, 6, 5.0, seed)
        for kind in ("errors", "fails 1 in 2", "slow 10x", "hangs")
        for detector in feed.DETECTORS
        for seed in range(_GOAL_SEED_COUNT)
    ]
    with multiprocessing.Pool(options.processes) as pool:
        stream_alarms = pool.map_async(_count_alarms, stream_jobs, chunksize=1)
        flap_verdicts = pool.map_async(
            _run_flap_cycles, flap_cases, chunksize=1
        )
        goal_verdicts = pool.map_async(_run_case, goal_cases, chunksize=8)
        verdicts = pool.map(_run_case, cases, chunksize=4)
        _print_grid(verdicts)
        _print_false_alarms(verdicts, stream_alarms.get())
        _print_detection_goals(goal_verdicts.get())
        _print_flap_shares(flap_verdicts.get())
    paths.print_table()
    print(f"{len(cases)} runs, {options.seeds} seeds", file=sys.stderr)
    print(f"{time.monotonic() - started:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
