"""Simulates random fault schedules and prints the totals by hold policy.

A hold policy decides whether a request that isn't idempotent waits for a slot
to be reserved before it is sent. A seed determines its schedule and its policy.
"""

from __future__ import annotations

import logging
from typing import Annotated

import typer

from sardinedoor_standins import faultgrid


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 0,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1500,
) -> None:
    """Runs a range of seeds; exits with 1 if an invariant was violated."""
    logging.disable()
    print(f"seeds {first} to {first + seeds - 1}")
    print("policy            sends answered not-run unknown silent", end=" ")
    print("doubled false-not-run foreign")
    violations = 0
    for policy_index, policy in enumerate(faultgrid.POLICIES):
        total = faultgrid.Verdict()
        for seed in range(first, first + seeds):
            if seed % len(faultgrid.POLICIES) != policy_index:
                continue
            verdict = faultgrid.run(faultgrid.make_schedule(seed))
            if verdict.violations:
                print(f"broken by seed {seed}")
            total.add(verdict)
        violations += total.violations
        print(
            f"{type(policy).__name__:16} {total.requests:6}"
            f" {total.answered:8} {total.not_run:7} {total.unknown:7}"
            f" {total.unanswered:6} {total.doubled:7}"
            f" {total.false_not_run:13} {total.foreign:7}"
        )
    if violations:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
