"""Requests that an ingress loses before it suspects an unreachable owner."""

from __future__ import annotations

import dataclasses
import random
import statistics

from detection import feed
from sardinedoor_node.membership import table
from sardinedoor_node.picking import path
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import twochoices
from sardinedoor_node.picking import views

_TIME_STEP_S = 0.05
_CUT_AT_S = 40.0
_END_S = 70.0
_LATENCY_S = 0.02
_TIMEOUT_S = 2.0
_WORKER_COUNT = 6
_SEED_COUNT = 20


@dataclasses.dataclass(slots=True)
class CutResult:
    """Losses during one simulated cut.

    Attributes:
        loss_s: Time from the first lost request to the last one, in s.
        lost: Number of lost requests.
        false_suspicions: Number of checks at which a reachable owner was
            suspected.
    """

    loss_s: float
    lost: int
    false_suspicions: int


def simulate_cut(rate: float, seed: int) -> CutResult:
    """Simulates that one ingress no longer receives frames from one owner.

    To the ingress, a frozen owner looks the same as a cut in either direction,
    so this simulation covers all three cases.

    Args:
        rate: Requests per second at the ingress.
        seed: Seed of the arrivals and of the picker.
    """
    rng = random.Random(seed)
    clock = feed.VirtualClock()
    targets = [
        table.Target(f"w{n}", "service", f"n{n}", False)
        for n in range(_WORKER_COUNT)
    ]
    picker = twochoices.TwoChoicesPicker(
        rng, clock, tracking.Location("i"), lambda service: 3
    )
    open_requests: list[tuple[float, table.Target, float, bool]] = []
    lost_at: list[float] = []
    false_suspicions = 0
    while clock.time < _END_S:
        clock.time += _TIME_STEP_S
        now = clock.time
        for request in [r for r in open_requests if r[0] <= now]:
            open_requests.remove(request)
            frame_at = None if request[3] else now
            report = None if request[3] else views.Report()
            picker.request_finished(
                request[1], request[2], views.Feedback(frame_at, report)
            )
        for node in picker.paths.start_due_probes(now):
            if node != "n0" or now < _CUT_AT_S:
                picker.paths.frame_received(node, now)
        for reachable in targets[1:]:
            false_suspicions += picker.paths.is_suspected(reachable.node, now)
        if rng.random() > rate * _TIME_STEP_S:
            continue
        choice = picker.pick(targets, set(), True)
        is_lost = choice.target.worker == "w0" and now >= _CUT_AT_S
        token = picker.request_started(choice.target)
        wait_s = _TIMEOUT_S if is_lost else _LATENCY_S
        open_requests.append((now + wait_s, choice.target, token, is_lost))
        if is_lost:
            lost_at.append(now)
    return CutResult(
        lost_at[-1] - lost_at[0] if lost_at else 0.0,
        len(lost_at),
        false_suspicions,
    )


def print_table() -> None:
    """Prints loss times, lost requests and false suspicions by rate."""
    print(".. list-table::\n   :header-rows: 1\n")
    print("   * - requests a second at the ingress")
    print("     - last request sent after the first lost one, p50 / max")
    print("     - lost, p50 / max")
    print("     - other owners suspected")
    for rate in (2.0, 10.0, 19.0):
        results = [simulate_cut(rate, seed) for seed in range(_SEED_COUNT)]
        losses_s = [r.loss_s for r in results]
        lost = [r.lost for r in results]
        print(f"   * - {rate:g}")
        print(
            f"     - {statistics.median(losses_s):.2f} / {max(losses_s):.2f} s"
        )
        print(f"     - {statistics.median(lost):g} / {max(lost)}")
        print(f"     - {sum(r.false_suspicions for r in results)}")
    print(
        f"\nAn owner is suspected after {path.SUSPECT_AFTER_S:g} s"
        " of silence.\n"
    )
