"""Idempotency keys, caller disconnects and requests that crash targets."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import time
import uuid

import testtools
from tornado import httpclient

from sardinedoor_standins import fleet
from sardinedoor_standins import target

_SERVICE_MS = 400
_RESEND_INTERVAL_S = 0.2
_RESEND_COUNT = 12
# A home accepts only keys that were made at least this long after its start.
_KEY_ACCEPTANCE_S = 10.5

_SETTINGS = """
[team]
name = permits-office
[service permits]
workers = permits-0, permits-1, permits-2, permits-3
[route permits]
service = permits
path = /permits
visibility = public
"""


def _make_plan() -> fleet.Plan:
    nodes = [
        fleet.NodePlan(
            f"n{n}",
            "attica",
            f"fd-{n}",
            [fleet.WorkerPlan(f"permits-{n}", "permits")],
        )
        for n in range(4)
    ]
    return fleet.Plan(nodes, {"permits-office": _SETTINGS})


def _make_uuid7(rng: random.Random) -> str:
    bits = (time.time_ns() // 1_000_000) << 80 | rng.getrandbits(74)
    bits = bits & ~(0xF << 76) | (7 << 76)
    return str(uuid.UUID(int=bits & ~(3 << 62) | (2 << 62)))


class ExchangeTest(testtools.TestCase):
    def test_exchanges_between_node_processes(self):
        with tempfile.TemporaryDirectory() as directory:
            asyncio.run(self._run(pathlib.Path(directory)))

    async def _run(self, directory: pathlib.Path) -> None:
        self._fleet = fleet.Fleet(_make_plan(), directory)
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            await self._fleet.start()
            started_at = time.monotonic()
            await self._check_caller_disconnects()
            remaining_s = _KEY_ACCEPTANCE_S - (time.monotonic() - started_at)
            await asyncio.sleep(remaining_s)
            await self._check_keyed_resends()
            await self._check_crashing_request()
        finally:
            self._client.close()
            self._fleet.close()

    async def _post(
        self, number: int, path: str, **headers: str
    ) -> httpclient.HTTPResponse:
        node = self._fleet.plan.nodes[number % len(self._fleet.plan.nodes)]
        return await self._client.fetch(
            f"http://{node.public}/permits/{path}",
            method="POST",
            body="x",
            headers=headers,
            raise_error=False,
        )

    async def _runs(self, path: str) -> list[target.Run]:
        matching_runs = []
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                runs = await self._fleet.runs(worker)
                matching_runs += [r for r in runs if r.path.endswith(path)]
        return matching_runs

    async def _check_keyed_resends(self) -> None:
        headers = {"Idempotency-Key": _make_uuid7(random.Random(1))}
        replies = await asyncio.gather(
            *(self._post(n, "pay", **headers) for n in range(4))
        )
        codes = sorted(r.headers["Sardinedoor-Code"] for r in replies)
        self.assertEqual(["1000", "1001", "1001", "1001"], codes)
        self.assertEqual(1, len({r.body for r in replies}))
        self.assertEqual(1, len(await self._runs("pay")))

    async def _check_caller_disconnects(self) -> None:
        slow_behaviour = target.Behaviour(service_ms=_SERVICE_MS)
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                await self._fleet.set_behaviour(worker, slow_behaviour)
        host, port = self._fleet.plan.nodes[0].public.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /permits/left HTTP/1.1\r\nHost: {host}\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        await asyncio.sleep(_SERVICE_MS / 2000)
        writer.close()
        del reader
        await asyncio.sleep(_SERVICE_MS / 500)
        runs = await self._runs("left")
        self.assertEqual([200], [r.status for r in runs])

    async def _check_crashing_request(self) -> None:
        crash_behaviour = target.Behaviour(crash_on="killer")
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                await self._fleet.set_behaviour(worker, crash_behaviour)
        codes = []
        for number in range(_RESEND_COUNT):
            reply = await self._post(number, "killer")
            codes.append(reply.headers["Sardinedoor-Code"])
            await asyncio.sleep(_RESEND_INTERVAL_S)
        self.assertEqual(["2031"] * 4, codes[-4:])
        self.assertEqual(
            (2, 2), (codes.count("3003"), await self._count_live_targets())
        )

    async def _count_live_targets(self) -> int:
        live_count = 0
        for node in self._fleet.plan.nodes:
            host, port = node.workers[0].address.split(":")
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            writer.close()
            live_count += 1
        return live_count
