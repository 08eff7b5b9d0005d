"""Ejection of a gray target: one that fails requests but passes probes."""

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
_SEND_INTERVAL_S = 0.01
_WARMUP_S = 2.0
_EJECTION_TIMEOUT_S = 15.0
_NO_TRAFFIC_S = 3.0


def _make_plan() -> fleet.Plan:
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


class GrayFailureTest(testtools.TestCase):
    def test_a_failing_target_with_healthy_probes_is_ejected(self):
        for behaviour in (
            target.Behaviour(error_share=1.0),
            target.Behaviour(hang=True),
        ):
            with tempfile.TemporaryDirectory() as directory:
                asyncio.run(self._run(pathlib.Path(directory), behaviour))

    async def _run(self, directory: pathlib.Path, behaviour) -> None:
        self._fleet = fleet.Fleet(_make_plan(), directory)
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        try:
            await self._fleet.start()
            load = asyncio.create_task(self._load())
            await asyncio.sleep(_WARMUP_S)
            await self._control("PUT", msgspec.json.encode(behaviour))
            await self._wait_ejected()
            run_count = len(await self._runs())
            await asyncio.sleep(_NO_TRAFFIC_S)
            self.assertEqual(run_count, len(await self._runs()))
            self.assertIn(" requests", await self._exclusion_reason())
            load.cancel()
            others = [h for h in await self._health() if h["worker"] != _GRAY]
            states = {h["state"] for h in others}
            self.assertEqual({"in_service"}, states, others)
        finally:
            self._client.close()
            self._fleet.close()

    async def _load(self) -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                node = self._fleet.plan.nodes[number % 3]
                group.create_task(self._send(node.public))
                number += 1
                await asyncio.sleep(_SEND_INTERVAL_S)

    async def _send(self, address: str) -> None:
        await self._client.fetch(
            f"http://{address}/permits/7", raise_error=False
        )

    async def _control(self, method: str, body: bytes | None = None) -> bytes:
        worker = self._fleet.plan.nodes[1].workers[1]
        response = await self._client.fetch(
            f"http://{worker.address}/-/control", method=method, body=body
        )
        return response.body

    async def _runs(self) -> list[target.Run]:
        return msgspec.json.decode(
            await self._control("GET"), type=list[target.Run]
        )

    async def _health(self) -> list[dict]:
        """Returns what the nodes report of the health of their workers."""
        statuses = [
            await self._fleet.status(node) for node in self._fleet.plan.nodes
        ]
        return [health for status in statuses for health in status["health"]]

    async def _exclusion_reason(self) -> str:
        """Returns why another node doesn't use the target."""
        admin = self._fleet.plan.nodes[0].admin
        response = await self._client.fetch(
            f"http://{admin}/explain?method=GET&path=/permits/7"
        )
        explained = msgspec.json.decode(response.body)
        reasons = {c["worker"]: c["reason"] for c in explained["candidates"]}
        return reasons[_GRAY]

    async def _wait_ejected(self) -> None:
        deadline = time.monotonic() + _EJECTION_TIMEOUT_S
        while time.monotonic() < deadline:
            states = {h["worker"]: h["state"] for h in await self._health()}
            if states[_GRAY] == "ejected":
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{_GRAY} is not ejected")
