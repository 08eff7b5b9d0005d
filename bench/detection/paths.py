"""Owner frozen and one-way cuts: how long an ingress goes on sending."""

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

_STEP_S = 0.05
_START_S = 40.0
_END_S = 70.0
_LATENCY_S = 0.02
_TIMEOUT_S = 2.0
_POOL = 6
_SEEDS = 20


@dataclasses.dataclass(slots=True)
class Cut:
    """What one cut cost.

    Attributes:
        seconds: Time from the first lost request to the last one, in s.
        lost: Requests lost.
        wrong: Checks at which another owner was suspected.
    """

    seconds: float
    lost: int
    wrong: int


def detect(rate: float, seed: int) -> Cut:
    """Cuts one owner off from one ingress; no frame of it arrives any more.

    The ingress can't tell a frozen owner from a cut in either direction, so
    one case stands for all three.

    Args:
        rate: Requests a second at the ingress.
        seed: Seed of randomness.
    """
    rng = random.Random(seed)
    clock = feed.VirtualClock()
    targets = [
        table.Target(f"w{n}", "service", f"n{n}", False) for n in range(_POOL)
    ]
    picker = twochoices.TwoChoicesPicker(
        rng, clock, tracking.Location("i"), lambda service: 3
    )
    open_requests: list[tuple[float, table.Target, float, bool]] = []
    lost: list[float] = []
    wrong = 0
    while clock.time < _END_S:
        clock.time += _STEP_S
        now = clock.time
        for entry in [e for e in open_requests if e[0] <= now]:
            open_requests.remove(entry)
            heard = None if entry[3] else now
            report = None if entry[3] else views.Report()
            picker.request_finished(
                entry[1], entry[2], views.Feedback(heard, report)
            )
        for node in picker.paths.start_due_probes(now):
            if node != "n0" or now < _START_S:
                picker.paths.frame_received(node, now)
        for other in targets[1:]:
            wrong += picker.paths.is_suspected(other.node, now)
        if rng.random() > rate * _STEP_S:
            continue
        choice = picker.pick(targets, set(), True)
        cut = choice.target.worker == "w0" and now >= _START_S
        token = picker.request_started(choice.target)
        length_s = _TIMEOUT_S if cut else _LATENCY_S
        open_requests.append((now + length_s, choice.target, token, cut))
        if cut:
            lost.append(now)
    return Cut(lost[-1] - lost[0] if lost else 0.0, len(lost), wrong)


def print_table() -> None:
    """Prints the time and the requests lost at several rates."""
    print(".. list-table::\n   :header-rows: 1\n")
    print("   * - requests a second at the ingress")
    print("     - last request sent after the first lost one, p50 / max")
    print("     - lost, p50 / max")
    print("     - other owners suspected")
    for rate in (2.0, 10.0, 19.0):
        found = [detect(rate, seed) for seed in range(_SEEDS)]
        seconds = [f.seconds for f in found]
        lost = [f.lost for f in found]
        print(f"   * - {rate:g}")
        print(f"     - {statistics.median(seconds):.2f} / {max(seconds):.2f} s")
        print(f"     - {statistics.median(lost):g} / {max(lost)}")
        print(f"     - {sum(f.wrong for f in found)}")
    print(
        f"\nAn owner is suspected after {path.SUSPECT_AFTER_S:g} s of silence.\n"
    )
