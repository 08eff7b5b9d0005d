"""Plays a restart of a node whose worker has just begun to leave."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile
import time

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "1"))

from standins import client  # noqa: E402
from standins import platform  # noqa: E402
from standins import record  # noqa: E402
from standins import store  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_SERVICE = "huvo11a"
_MACHINES = 4
_STALE_S = 3.0
_DRAIN_S = 2.0
_STABLE_WINDOW_S = 3.0
_KILL_AFTER_S = 0.3
_RESTART_DELAY_S = 0.2
_REQUESTS = 24
_REQUEST_INTERVAL_S = 0.2


class ReplicatedStore(store.Store):
    """A store whose stale reads of workers come from a replica that lags.

    Stale reads of other keys come from one that is up to date. Each answer
    says the revision that its replica has.
    """

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self._history: list[tuple[float, int]] = [(0.0, self.revision)]

    def _publish(self, event: dict) -> None:
        self._history.append((time.monotonic(), self.revision))
        super()._publish(event)

    def _read(self, prefix: str, stale: bool) -> tuple[dict[str, dict], int]:
        if not stale or not prefix.startswith("servers/"):
            return super()._read(prefix, stale)
        latest = time.monotonic() - _STALE_S
        revision = max(r for at, r in self._history if at <= latest)
        return self.items_at(revision), revision


async def _send_requests(
    machine: platform.Machine, events: record.Record
) -> list[dict]:
    sender = client.Client(machine.outbound, "shop.example", events)
    tasks = []
    for _ in range(_REQUESTS):
        tasks.append(asyncio.create_task(sender.send("/pay/2f")))
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


async def _play(trouble: bool, events: record.Record, folder: str) -> int:
    deployment = platform.Deployment(
        ReplicatedStore(), pathlib.Path(folder), events
    )
    try:
        await deployment.start([_SERVICE] * _MACHINES)
        rules = [platform.rule("r-pay", "/pay/", "unsafe", _SERVICE)]
        deployment.store.put(
            "op/config", platform.configuration(3, [_SERVICE], rules)
        )
        await deployment.publish_workers()
        if not await deployment.wait_until_in():
            return COULD_NOT_RUN
        await asyncio.sleep(_STALE_S + 1.0)
        machine = deployment.machines[0]
        leaving = machine.worker
        leaving.leaving = True
        deployment.store.put(
            f"servers/{leaving.name}", leaving.entry("draining")
        )
        acknowledged_s = events.now_s
        events.add("draining acknowledged", worker=leaving.name)
        await asyncio.sleep(_KILL_AFTER_S)
        if trouble:
            await machine.kill()
            await asyncio.sleep(_RESTART_DELAY_S)
            await machine.start()
        started_s = events.now_s
        # From here on the machine is in touch, and `Drain` is over.
        await asyncio.sleep(_STABLE_WINDOW_S + 1.0)
        if not await deployment.wait_until_in():
            return COULD_NOT_RUN
        ends = await _send_requests(machine, events)
        if not any(end["status"] == 200 for end in ends):
            return COULD_NOT_RUN
        late = [
            run["attempt"]
            for run in events.of("run")
            if run["worker"] == leaving.name
            and run["at_s"] > acknowledged_s + _DRAIN_S
            and run["at_s"] > started_s + _STABLE_WINDOW_S
        ]
        events.add(
            "verdict",
            rule="DRAIN",
            requests=len(ends),
            served=sum(end["status"] == 200 for end in ends),
            late=late,
        )
        return BROKEN if late else HELD
    finally:
        await deployment.close()


def main() -> int:
    """Plays the case; returns its exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    events = record.Record(_HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(_play(trouble, events, folder))
        finally:
            events.close()


if __name__ == "__main__":
    sys.exit(main())
