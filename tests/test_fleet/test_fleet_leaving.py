"""A leaving node gets no new requests, even from an ingress that missed it."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile
import time

import msgspec
import testtools

from sardinedoor_standins import caller
from sardinedoor_standins import fleet

_MAX_LAST_START_S = 2.0
_REQUEST_COUNT = 60
_CLOSED_ADDRESS = "127.0.0.1:9"
_SETTINGS = """
[team]
name = permits-office
[service permits]
workers = permits-0, permits-1, permits-2
[route permits]
service = permits
path = /permits
visibility = public
"""


def make_plan() -> fleet.Plan:
    """Builds three nodes in one failure domain, so that they share load."""
    return fleet.Plan(
        [
            fleet.NodePlan(
                f"n{n}",
                "attica",
                "fd-a",
                [fleet.WorkerPlan(f"permits-{n}", "permits")],
            )
            for n in range(3)
        ],
        {"permits-office": _SETTINGS},
    )


class LeavingNodeTest(testtools.TestCase):
    def _run_case(self, case) -> None:
        async def run(directory: pathlib.Path) -> None:
            running = fleet.Fleet(make_plan(), directory)
            try:
                await running.start()
                await self._send_requests(running)
                await case(running)
            finally:
                running.close()

        with tempfile.TemporaryDirectory() as directory:
            asyncio.run(run(pathlib.Path(directory)))

    async def _send_requests(self, running: fleet.Fleet) -> set[str]:
        """Sends requests through n0; returns the targets that answered."""
        connection = caller.Caller(running.plan.nodes[0].public)
        targets = set()
        for number in range(_REQUEST_COUNT):
            method = "GET" if number % 2 else "POST"
            response = await connection.request(method, "/permits/1", body=b"x")
            self.assertEqual("1000", response.headers.get("sardinedoor-code"))
            targets.add(response.headers["sardinedoor-target"])
        connection.close()
        return targets

    async def _send_one(self, running: fleet.Fleet) -> str:
        connection = caller.Caller(running.plan.nodes[0].public)
        response = await connection.request("POST", "/permits/1", body=b"x")
        connection.close()
        return response.headers.get("sardinedoor-code", response.ending.value)

    async def _last_start(self, running: fleet.Fleet, name: str) -> float:
        worker = running.node(name).workers[0]
        body = await running.wait_http(f"http://{worker.address}/-/control")
        return max(run["started"] for run in msgspec.json.decode(body))

    async def _check_not_used(
        self, running: fleet.Fleet, leaving_since: float
    ) -> None:
        targets = await self._send_requests(running)
        self.assertNotIn("permits-1", targets)
        last_start = await self._last_start(running, "n1")
        self.assertLess(last_start - leaving_since, _MAX_LAST_START_S)

    def test_an_ingress_resumes_after_the_node_was_listed_as_leaving(self):
        async def case(running: fleet.Fleet) -> None:
            running.signal("n0", signal.SIGSTOP)
            leaving_since = time.monotonic()
            await running.publish(leaving=("n1",))
            await asyncio.sleep(_MAX_LAST_START_S)
            # On resuming, n0 reads these requests together with pending news.
            pending = [
                asyncio.create_task(self._send_one(running)) for _ in range(9)
            ]
            await asyncio.sleep(0.1)
            running.signal("n0", signal.SIGCONT)
            self.assertEqual(["1000"] * 9, await asyncio.gather(*pending))
            await self._check_not_used(running, leaving_since)

        self._run_case(case)

    def test_an_ingress_resumes_after_the_node_has_stopped(self):
        async def case(running: fleet.Fleet) -> None:
            running.signal("n0", signal.SIGSTOP)
            leaving_since = time.monotonic()
            running.signal("n1", signal.SIGTERM)
            self.assertEqual(0, await running.stop("n1"))
            running.signal("n0", signal.SIGCONT)
            await self._check_not_used(running, leaving_since)

        self._run_case(case)

    def test_an_ingress_starts_without_the_platform(self):
        async def case(running: fleet.Fleet) -> None:
            await running.stop("n0")
            platform = running.platform_address
            running.platform_address = _CLOSED_ADDRESS
            running.spawn_node(running.node("n0"))
            running.platform_address = platform
            await asyncio.sleep(0)
            leaving_since = time.monotonic()
            await running.publish(leaving=("n1",))
            await self._wait_serving(running)
            await asyncio.sleep(_MAX_LAST_START_S)
            await self._check_not_used(running, leaving_since)

        self._run_case(case)

    async def _wait_serving(self, running: fleet.Fleet) -> None:
        deadline = time.monotonic() + fleet.START_TIMEOUT_S
        while time.monotonic() < deadline:
            connection = caller.Caller(running.plan.nodes[0].public)
            response = await connection.request("GET", "/permits/1")
            connection.close()
            if response.status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail("n0 does not serve")

    def test_a_worker_is_removed_from_the_settings(self):
        async def case(running: fleet.Fleet) -> None:
            leaving_since = time.monotonic()
            await running.edit(
                "permits-office", _SETTINGS.replace(" permits-1,", "")
            )
            await asyncio.sleep(_MAX_LAST_START_S)
            await self._check_not_used(running, leaving_since)

        self._run_case(case)
