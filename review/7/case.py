"""A planned stop while uploads wait for a slot."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "6" / "standins"))

import rig  # noqa: E402

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
DEADLINE_MS = 30000
BODY = b"x" * 3000
ROUTES = [
    rig.route("r-upload", "/up/", "upload", "intake", 30000, 10000),
    rig.route("r-desk", "/desk/", "unsafe", "desk", 10000, 3000),
]


class Uploads:
    """The clients of one node."""

    def __init__(self, fleet: rig.Fleet):
        """Starts without requests."""
        self._fleet = fleet
        self._tasks: list[asyncio.Task[rig.Answer]] = []

    async def send(self, count: int, work_ms: int, gap_s: float) -> None:
        """Sends uploads as long as the node takes work."""
        node = self._fleet.nodes[0]
        for _ in range(count):
            if node.takes_work:
                request = self._fleet.request(
                    node, "POST", f"/up/{work_ms}", DEADLINE_MS, BODY
                )
                self._tasks.append(asyncio.create_task(request))
            await asyncio.sleep(gap_s)

    async def answers(self) -> list[rig.Answer]:
        """Waits for the end of all requests."""
        return await asyncio.gather(*self._tasks)


async def play(fleet: rig.Fleet) -> bool:
    """Plays the case; returns whether the rule held."""
    await fleet.start(
        [("desk", 3, 1.0), ("intake", 3, 1.1), ("intake", 3, 1.1)], ROUTES
    )
    polling = asyncio.create_task(fleet.poll())
    uploads = Uploads(fleet)
    for _ in range(8):
        await uploads.send(6, 1100, 0.0)
        await asyncio.sleep(1.3)
    # Six larger uploads take all slots; the later ones wait.
    await uploads.send(6, 3800, 0.0)
    await asyncio.sleep(0.4)
    stopped_at = rig.now()
    if rig.disrupted():
        fleet.nodes[0].signal(signal.SIGTERM)
        fleet.record.add("SIGTERM to the node of the clients")
    await uploads.send(12, 2000, 0.15)
    answers = await uploads.answers()
    polling.cancel()
    ran = {run.attempt_id for run in fleet.runs()}
    lost = [
        answer
        for answer in answers
        if not answer.whole
        and answer.attempt_id not in ran
        and answer.ended_at - answer.sent_at > LOSS_SLACK_S
        and answer.ended_at - answer.sent_at < 0.9 * DEADLINE_MS / 1000
        and answer.ended_at < stopped_at + GRACE_S + 1.0
    ]
    statuses = collections.Counter(answer.status for answer in answers)
    fleet.record.add(f"answers by status (0: none): {dict(statuses)}")
    for answer in lost:
        fleet.record.add(
            f"{answer.attempt_id} LOST: sent"
            f" {answer.sent_at - stopped_at:+.2f} s after the SIGTERM, cut at"
            f" {answer.ended_at - stopped_at:+.2f} s, never run"
        )
    return not lost


if __name__ == "__main__":
    rig.main(play, HERE)
