"""Compares hold policies by unknown outcomes under faults and by latency.

In simulated time, three nodes have two targets each. One-way latency between
nodes is 1.5 ms, connecting to a target takes 1 ms, and service time is 5 ms.
No request is idempotent or has a key.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import logging
import random
from typing import Annotated

import typer

from sardinedoor_node.ingress import holding
from sardinedoor_standins import faultgrid
from sardinedoor_standins import memfleet
from sardinedoor_standins import virtualtime

_SENDS_START_S = 1.0
_SENDS_END_S = 21.0
_SENDS_PER_S = 50
_FAULT_DURATION_S = 0.7


def _calm(fleet: memfleet.MemoryFleet, rng: random.Random) -> None:
    del fleet, rng


def _cut(fleet: memfleet.MemoryFleet, rng: random.Random) -> None:
    source, destination = rng.sample(sorted(fleet.nodes), 2)
    fleet.network.cut(source, destination, _FAULT_DURATION_S)


def _freeze(fleet: memfleet.MemoryFleet, rng: random.Random) -> None:
    node = fleet.nodes.get(rng.choice(["n0", "n1", "n2"]))
    if node is not None:
        node.loop.freeze(_FAULT_DURATION_S)


def _kill(fleet: memfleet.MemoryFleet, rng: random.Random) -> None:
    fleet.kill(rng.choice(["n0", "n1", "n2"]), _FAULT_DURATION_S)


_FAULTS = [_calm, _cut, _freeze, _kill]


def _run(
    policy: holding.HoldPolicy,
    fault: Callable[[memfleet.MemoryFleet, random.Random], None],
    seed: int,
) -> faultgrid.Verdict:
    rng = random.Random(seed)
    with virtualtime.Timeline().closing() as timeline:
        fleet = memfleet.MemoryFleet(
            timeline, seed, workers_each=2, policy=policy
        )
        for second in range(2, int(_SENDS_END_S), 3):
            timeline.call_at(second, lambda: fault(fleet, rng))
        requests = []
        for number in range(
            int((_SENDS_END_S - _SENDS_START_S) * _SENDS_PER_S)
        ):
            sent_at = _SENDS_START_S + number / _SENDS_PER_S
            request = memfleet.CallerRequest(
                f"{number}", b"pay-%d" % number, False
            )
            fleet.submit(sent_at, rng.choice(["n0", "n1", "n2"]), request)
            requests.append(request)
        timeline.run_until(_SENDS_END_S + 5.0)
        return faultgrid.evaluate(requests, fleet.runs)


@dataclasses.dataclass(slots=True)
class _Row:
    fault: str
    policy: str
    verdict: faultgrid.Verdict

    def __str__(self) -> str:
        latencies_s = sorted(self.verdict.latencies_s)
        p50_ms, p99_ms = (
            1000 * latencies_s[int(len(latencies_s) * fraction)]
            for fraction in (0.5, 0.99)
        )
        v = self.verdict
        return (
            f"{self.fault:7} {self.policy:16} {v.requests:6} {v.answered:8}"
            f" {v.not_run:7} {v.unknown:7} {v.unanswered:6} {v.doubled:7}"
            f" {p50_ms:7.2f} {p99_ms:7.2f}"
        )


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds per row.")] = 10,
) -> None:
    """Prints one row for each kind of fault and policy."""
    logging.disable()
    print("fault   policy            sends answered not-run unknown", end=" ")
    print("silent doubled  p50 ms  p99 ms")
    for fault in _FAULTS:
        for policy in faultgrid.POLICIES:
            total = faultgrid.Verdict()
            for seed in range(seeds):
                total.add(_run(policy, fault, seed))
            name = fault.__name__.strip("_")
            print(_Row(name, type(policy).__name__, total))


if __name__ == "__main__":
    typer.run(main)
