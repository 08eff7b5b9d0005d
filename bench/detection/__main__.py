"""Runs the grid and prints its tables as reStructuredText."""

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

_POOLS = (20, 6, 14, 8)
_LOADS = (1.0, 5.0)
_TARGET_SEEDS = 100
_STREAM_OUTCOMES = 300_000
_STREAMS = {"agora": 4, "lone star": 10, "five errors": 3, "10 s window": 3}
_CYCLES = 4


def _run(case: feed.Case) -> feed.Verdict:
    return feed.Feed(case).run()


def _flap(case: feed.Case) -> feed.Verdict:
    return feed.Feed(case, _CYCLES).run()


def _stream(job: tuple[str, int]) -> tuple[str, int]:
    name, seed = job
    baselines = {
        "five errors": consecutive.ConsecutiveDetector,
        "10 s window": window.WindowDetector,
    }
    sensitivity = 1.0 if name == "agora" else 0.0
    found = stream.alarms(
        sensitivity, seed, _STREAM_OUTCOMES, baselines.get(name)
    )
    return name, found


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _table(header: list[str], rows: list[list[str]]) -> None:
    print(".. list-table::\n   :header-rows: 1\n")
    for row in [header, *rows]:
        for number, cell in enumerate(row):
            print(f"   {'* -' if number == 0 else '  -'} {cell}")
    print()


def _cell(found: list[feed.Verdict]) -> str:
    kind = faults.KINDS[found[0].case.kind]
    if kind.healthy:
        return str(sum(v.false_ejections for v in found))
    seen = [v for v in found if v.seconds is not None]
    missed = len(found) - len(seen)
    if missed > len(found) / 20:
        return f"missed {missed} of {len(found)}"
    seconds = [v.seconds for v in seen]
    outcomes = [v.outcomes for v in seen]
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
    for load in _LOADS:
        print(f"{load:g} requests a second per worker:\n")
        rows = [
            [kind, str(pool)]
            + [_cell(groups[load, kind, pool, d]) for d in feed.DETECTORS]
            for kind in faults.KINDS
            for pool in _POOLS
        ]
        _table(["kind", "pool", *feed.DETECTORS], rows)


def _print_targets(verdicts: list[feed.Verdict]) -> None:
    groups = collections.defaultdict(list)
    for verdict in verdicts:
        groups[verdict.case.kind, verdict.case.detector].append(verdict)
    kinds = dict.fromkeys(kind for kind, _ in groups)
    rows = [
        [kind] + [_cell(groups[kind, d]) for d in feed.DETECTORS]
        for kind in kinds
    ]
    print(f"{_TARGET_SEEDS} seeds, pool of 6, 5 requests a second each:\n")
    _table(["kind", *feed.DETECTORS], rows)


def _print_false(
    verdicts: list[feed.Verdict], alarms: list[tuple[str, int]]
) -> None:
    rows = []
    for name in feed.DETECTORS:
        own = [v for v in verdicts if v.case.detector == name]
        healthy = sum(v.healthy_outcomes for v in own)
        false = sum(v.false_ejections for v in own)
        streamed = sum(found for n, found in alarms if n == name)
        total = _STREAMS[name] * _STREAM_OUTCOMES
        rows.append(
            [
                name,
                f"{false} in {healthy}",
                f"{streamed} in {total} ({streamed / total * 1e6:.2f})",
                str(sum(v.late_work for v in own)),
                str(
                    sum(
                        v.least_rotation < feed.FLOORS[v.case.pool] for v in own
                    )
                ),
            ]
        )
    _table(
        [
            "detector",
            "false ejections in the grid",
            "alarms on healthy streams (per million)",
            "requests run after ejection",
            "runs below the floor",
        ],
        rows,
    )


def _print_flaps(verdicts: list[feed.Verdict]) -> None:
    groups = collections.defaultdict(list)
    for verdict in verdicts:
        groups[verdict.case.kind, verdict.case.detector].append(verdict.shares)
    rows = []
    for (kind, detector), found in groups.items():
        cycles = zip(*found, strict=True)
        shares = [f"{statistics.mean(c):.2f}" for c in cycles]
        rows.append([kind, detector, ", ".join(shares)])
    _table(["kind", "detector", "share of a fair share, by cycle"], rows)


def main() -> None:
    """Runs everything and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=8)
    options = parser.parse_args()
    started = time.monotonic()
    cases = [
        feed.Case(kind, detector, pool, load, seed)
        for kind in faults.KINDS
        for detector in feed.DETECTORS
        for pool in _POOLS
        for load in _LOADS
        for seed in range(options.seeds)
    ]
    flaps = [
        feed.Case(kind, detector, 6, 5.0, seed)
        for kind in ("flaps 5 s", "flaps 30 s")
        for detector in feed.DETECTORS
        for seed in range(8)
    ]
    streams = [(d, s) for d, n in _STREAMS.items() for s in range(n)]
    targets = [
        feed.Case(kind, detector, 6, 5.0, seed)
        for kind in ("errors", "fails 1 in 2", "slow 10x", "hangs")
        for detector in feed.DETECTORS
        for seed in range(_TARGET_SEEDS)
    ]
    with multiprocessing.Pool(options.processes) as pool:
        alarms = pool.map_async(_stream, streams, chunksize=1)
        flapping = pool.map_async(_flap, flaps, chunksize=1)
        targeted = pool.map_async(_run, targets, chunksize=8)
        verdicts = pool.map(_run, cases, chunksize=4)
        _print_grid(verdicts)
        _print_false(verdicts, alarms.get())
        _print_targets(targeted.get())
        _print_flaps(flapping.get())
    paths.print_table()
    print(f"{len(cases)} runs, {options.seeds} seeds", file=sys.stderr)
    print(f"{time.monotonic() - started:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
