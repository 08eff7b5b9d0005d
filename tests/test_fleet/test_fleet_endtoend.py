"""Requests from ingress to target through separate node processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

import testtools
from tornado import httpclient

from sardinedoor_standins import fleet

_SETTINGS = """
[team]
name = permits-office
[service permits]
workers = permits-0, permits-1, permits-2, permits-3, permits-4, permits-5
floor = 3
[route permits]
service = permits
path = /permits
visibility = public
[route internal]
service = permits
path = /internal
"""


def make_plan(nodes: int = 3, workers: int = 2) -> fleet.Plan:
    """Builds a plan with one service and one failure domain."""
    return fleet.Plan(
        [
            fleet.NodePlan(
                f"n{n}",
                "attica",
                "fd-0",
                [
                    fleet.WorkerPlan(f"permits-{n * workers + w}", "permits")
                    for w in range(workers)
                ],
            )
            for n in range(nodes)
        ],
        {"permits-office": _SETTINGS},
    )


class EndToEndTest(testtools.TestCase):
    def test_requests_reach_all_targets_and_internal_routes_stay_hidden(self):
        with tempfile.TemporaryDirectory() as directory:
            asyncio.run(self._run(pathlib.Path(directory)))

    async def _run(self, directory: pathlib.Path) -> None:
        running = fleet.Fleet(make_plan(), directory)
        client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            await running.start()
            address = running.plan.nodes[0].public
            targets_used = set()
            for method in ["GET", "POST"] * 30:
                body = b"x" if method == "POST" else None
                response = await client.fetch(
                    f"http://{address}/permits/7",
                    method=method,
                    body=body,
                    raise_error=False,
                )
                self.assertEqual("1000", response.headers["Sardinedoor-Code"])
                self.assertEqual(
                    "answered", response.headers["Sardinedoor-Outcome"]
                )
                targets_used.add(response.headers["Sardinedoor-Target"])
            self.assertEqual(6, len(targets_used))
            refusal = await client.fetch(
                f"http://{address}/internal", raise_error=False
            )
            self.assertEqual(404, refusal.code)
            self.assertEqual("2010", refusal.headers["Sardinedoor-Code"])
            self.assertEqual(0, await running.stop("n1"))
        finally:
            client.close()
            running.close()
