"""Plays a planned stop beside an entry that another writer left in the store."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "1"))

from standins import client  # noqa: E402
from standins import platform  # noqa: E402
from standins import record  # noqa: E402
from standins import store  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_SERVICE = "huvo11a"
_MACHINES = 4
_REQUEST_INTERVAL_S = 0.15
# The entry is written long before the stop: twice `StableWindow` and more.
_BEFORE_STOP_S = 8.0
_AFTER_STOP_S = 8.0
# Less than the deadline of the requests and the timeout of their route.
_TIME_LIMIT_S = 1.9
# "fields missing or of another type, a state or service that isn't named here"
_FOREIGN_ENTRY = {
    "Address": "http://127.0.9.9:8080",
    "Info": {
        "Service": "legacy-web",
        "Version": "1.4",
        "Zone": platform.ZONE,
        "Slots": 4,
    },
    "Status": {"State": "ready", "Seq": 1, "ColdLeft": "0ms"},
}


async def _send_at_machine(
    machine: platform.Machine, events: record.Record, ends: list[dict]
) -> None:
    """Sends unsafe requests while the machine is in."""
    sender = client.Client(machine.outbound, "shop.example", events)

    async def send() -> None:
        ends.append(await sender.send("/pay/2f"))

    tasks = []
    try:
        while True:
            if machine.is_in:
                tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(_REQUEST_INTERVAL_S)
    finally:
        await asyncio.gather(*tasks)


def _lost(events: record.Record, machine: platform.Machine) -> list[str]:
    """Returns the requests that a planned stop cut while they ran.

    They were read by the stopped machine and passed on to a worker, and their
    connection ended without an answer. No worker broke off, and neither the
    deadline nor the timeout of the route was reached.
    """
    ran = {event["attempt"] for event in events.of("run")}
    sent_s = {event["attempt"]: event["at_s"] for event in events.of("sent")}
    return [
        end["attempt"]
        for end in events.of("answered")
        if end["node"] == machine.outbound
        and end["status"] == 0
        and end["attempt"] in ran
        and end["at_s"] - sent_s[end["attempt"]] < _TIME_LIMIT_S
    ]


async def _play(trouble: bool, events: record.Record, folder: str) -> int:
    deployment = platform.Deployment(
        store.Store(), pathlib.Path(folder), events
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
        await asyncio.sleep(2.0)
        ends: list[dict] = []
        senders = [
            asyncio.create_task(_send_at_machine(machine, events, ends))
            for machine in deployment.machines
        ]
        if trouble:
            deployment.store.put("servers/legacy-web-1", _FOREIGN_ENTRY)
            events.add("entry of another writer", entry=_FOREIGN_ENTRY)
        await asyncio.sleep(_BEFORE_STOP_S)
        stopped = deployment.machines[0]
        await stopped.stop()
        await asyncio.sleep(_AFTER_STOP_S - platform.GRACE_S)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        served = [end for end in ends if end["status"] == 200]
        if not served:
            return COULD_NOT_RUN
        lost = _lost(events, stopped)
        events.add(
            "verdict",
            rule="LOST",
            requests=len(ends),
            served=len(served),
            lost=lost,
            exit_status=stopped.exit_status,
        )
        return BROKEN if lost else HELD
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
