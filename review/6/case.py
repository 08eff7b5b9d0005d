"""A worker drains while uploads wait in the queue in front of it."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "6" / "standins"))

import rig  # noqa: E402

DRAIN_S = 2.5
# A worker that leaves goes on serving for a little longer than that.
LONGER_S = 1.5
DEADLINE_MS = 30000
BODY = b"x" * 3000
ROUTES = [
    rig.route("r-upload", "/up/", "upload", "intake", 30000, 10000),
    rig.route("r-desk", "/desk/", "unsafe", "desk", 10000, 3000),
]


async def play(fleet: rig.Fleet) -> bool:
    """Plays the case; returns whether the rule held."""
    await fleet.start(
        [("desk", 3, 1.0), ("intake", 3, 1.1), ("intake", 3, 1.1)], ROUTES
    )
    tasks = []

    async def send(count: int, work_ms: int, gap_s: float) -> None:
        for _ in range(count):
            request = fleet.request(
                fleet.nodes[0], "POST", f"/up/{work_ms}", DEADLINE_MS, BODY
            )
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(gap_s)

    for _ in range(8):
        await send(6, 1100, 0.0)
        await asyncio.sleep(1.3)
    # Six larger uploads take all slots; the later ones wait. Workers differ in
    # speed: the one that will leave is the faster one.
    leaving, other = fleet.workers[1], fleet.workers[2]
    other.slowness = 1.3
    await send(6, 3800, 0.0)
    await asyncio.sleep(0.4)
    await send(8, 1100, 0.02)
    acknowledged_at = rig.now()
    if rig.disrupted():
        leaving.draining = True
        acknowledged_at = fleet.store.put(
            f"servers/{leaving.name}", leaving.entry("draining")
        )
        fleet.record.add(f"{leaving.name} is draining, acknowledged")
    await send(8, 1100, 0.25)
    late = []
    if rig.disrupted():
        ends_at = acknowledged_at + DRAIN_S + LONGER_S
        await asyncio.sleep(ends_at - rig.now())
        leaving.stop()
        fleet.store.delete(f"servers/{leaving.name}")
        late = [
            run
            for run in leaving.runs
            if run.began_at > acknowledged_at + DRAIN_S
        ]
    answers = await asyncio.gather(*tasks)
    statuses = collections.Counter(answer.status for answer in answers)
    fleet.record.add(f"answers by status (0: none): {dict(statuses)}")
    if not rig.disrupted():
        # Without the disruption each upload is answered whole or refused.
        return all(
            answer.whole and answer.status in (200, 503) for answer in answers
        )
    status_by_id = {a.attempt_id: a.status for a in answers}
    for run in late:
        fleet.record.add(
            f"{run.attempt_id} LATE: reached {leaving.name}"
            f" {run.began_at - acknowledged_at:.2f} s after the acknowledgement,"
            f" client got {status_by_id[run.attempt_id]}"
        )
    return not late


if __name__ == "__main__":
    rig.main(play, HERE)
