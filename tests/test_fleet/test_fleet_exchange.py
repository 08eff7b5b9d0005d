"""Keys, a leaving caller and a killer request through real processes."""

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
_RESEND_S = 0.2
_RESENDS = 12
# A home vouches for keys made this long after its start.
_COVERED_S = 10.5

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


def _timed_key(rng: random.Random) -> str:
    bits = (time.time_ns() // 1_000_000) << 80 | rng.getrandbits(74)
    bits = bits & ~(0xF << 76) | (7 << 76)
    return str(uuid.UUID(int=bits & ~(3 << 62) | (2 << 62)))


class ExchangeTest(testtools.TestCase):
    def test_through_real_processes(self):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._run(pathlib.Path(folder)))

    async def _run(self, folder: pathlib.Path) -> None:
        self._fleet = fleet.Fleet(_make_plan(), folder)
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            await self._fleet.start()
            started = time.monotonic()
            await self._caller_leaves()
            left_s = _COVERED_S - (time.monotonic() - started)
            await asyncio.sleep(left_s)
            await self._resend_by_key()
            await self._killer()
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
        found = []
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                runs = await self._fleet.runs(worker)
                found += [r for r in runs if r.path.endswith(path)]
        return found

    async def _resend_by_key(self) -> None:
        key = {"Idempotency-Key": _timed_key(random.Random(1))}
        replies = await asyncio.gather(
            *(self._post(n, "pay", **key) for n in range(4))
        )
        codes = sorted(r.headers["Sardinedoor-Code"] for r in replies)
        self.assertEqual(["1000", "1001", "1001", "1001"], codes)
        self.assertEqual(1, len({r.body for r in replies}))
        self.assertEqual(1, len(await self._runs("pay")))

    async def _caller_leaves(self) -> None:
        slow = target.Behaviour(service_ms=_SERVICE_MS)
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                await self._fleet.behave(worker, slow)
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

    async def _killer(self) -> None:
        deadly = target.Behaviour(crash_on="killer")
        for node in self._fleet.plan.nodes:
            for worker in node.workers:
                await self._fleet.behave(worker, deadly)
        codes = []
        for number in range(_RESENDS):
            reply = await self._post(number, "killer")
            codes.append(reply.headers["Sardinedoor-Code"])
            await asyncio.sleep(_RESEND_S)
        self.assertEqual(["2031"] * 4, codes[-4:])
        self.assertEqual((2, 2), (codes.count("3003"), await self._up()))

    async def _up(self) -> int:
        up = 0
        for node in self._fleet.plan.nodes:
            host, port = node.workers[0].address.split(":")
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            writer.close()
            up += 1
        return up
