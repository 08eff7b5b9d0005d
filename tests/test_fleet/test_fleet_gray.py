"""Traffic leaves a gray target in separate processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time

import msgspec
import testtools
from tornado import httpclient

from sardinedoor_standins import fleet
from sardinedoor_standins import target

_SETTINGS = """
[team]
name = permits-office
[service permits]
workers = permits-0, permits-1, permits-2, permits-3, permits-4, permits-5
floor = 3
sensitivity = 1
probe_path = /-/health
ejection_ms = 20000
[route permits]
service = permits
path = /permits
visibility = public
timeout_ms = 2000
"""
_GRAY = "permits-3"
_INTERVAL_S = 0.01
_WARM_S = 2.0
_LIMIT_S = 15.0
_QUIET_S = 3.0


def _plan() -> fleet.Plan:
    nodes = [
        fleet.NodePlan(
            f"n{n}",
            "attica",
            "fd-0",
            [
                fleet.WorkerPlan(f"permits-{2 * n + w}", "permits")
                for w in range(2)
            ],
        )
        for n in range(3)
    ]
    return fleet.Plan(nodes, {"permits-office": _SETTINGS})


class GrayTest(testtools.TestCase):
    def test_traffic_leaves_targets_that_fail_with_healthy_probes(self):
        for behaviour in (
            target.Behaviour(error_share=1.0),
            target.Behaviour(hang=True),
        ):
            with tempfile.TemporaryDirectory() as folder:
                asyncio.run(self._run(pathlib.Path(folder), behaviour))

    async def _run(self, folder: pathlib.Path, behaviour) -> None:
        self.running = fleet.Fleet(_plan(), folder)
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        try:
            await self.running.start()
            load = asyncio.create_task(self._load())
            await asyncio.sleep(_WARM_S)
            await self._control("PUT", msgspec.json.encode(behaviour))
            await self._wait_ejected()
            before = len(await self._runs())
            await asyncio.sleep(_QUIET_S)
            self.assertEqual(before, len(await self._runs()))
            self.assertIn(" requests", await self._reason())
            load.cancel()
            states = await self._states()
            others = {k: v for k, v in states.items() if k != _GRAY}
            self.assertEqual({"in_service"}, set(others.values()))
        finally:
            self.client.close()
            self.running.close()

    async def _load(self) -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                node = self.running.plan.nodes[number % 3]
                group.create_task(self._send(node.public))
                number += 1
                await asyncio.sleep(_INTERVAL_S)

    async def _send(self, address: str) -> None:
        await self.client.fetch(
            f"http://{address}/permits/7", raise_error=False
        )

    async def _control(self, method: str, body: bytes | None = None) -> bytes:
        worker = self.running.plan.nodes[1].workers[1]
        response = await self.client.fetch(
            f"http://{worker.address}/-/control", method=method, body=body
        )
        return response.body

    async def _runs(self) -> list[target.Run]:
        return msgspec.json.decode(
            await self._control("GET"), type=list[target.Run]
        )

    async def _states(self) -> dict[str, str]:
        found = {}
        for node in self.running.plan.nodes:
            status = await self.running.status(node)
            found |= {h["worker"]: h["state"] for h in status["health"]}
        return found

    async def _reason(self) -> str:
        """Asks another node why the target gets no work."""
        admin = self.running.plan.nodes[0].admin
        response = await self.client.fetch(
            f"http://{admin}/explain?method=GET&path=/permits/7"
        )
        explained = msgspec.json.decode(response.body)
        reasons = {c["worker"]: c["reason"] for c in explained["candidates"]}
        return reasons[_GRAY]

    async def _wait_ejected(self) -> None:
        end = time.monotonic() + _LIMIT_S
        while time.monotonic() < end:
            if (await self._states())[_GRAY] == "ejected":
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{_GRAY} is not ejected")
