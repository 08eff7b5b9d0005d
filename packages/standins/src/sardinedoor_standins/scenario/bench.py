"""Test bench of a scenario: fleet, load, faults and observations."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from sardinedoor_standins import fleet
from sardinedoor_standins import load
from sardinedoor_standins import verdict

if TYPE_CHECKING:
    import pathlib

    from sardinedoor_standins import deployment
    from sardinedoor_standins import target

MAX_LOAD_S = 120.0
_POLL_S = 0.2


class Bench:
    """State that the steps of a scenario share."""

    def __init__(
        self,
        selected: deployment.Deployment,
        folder: pathlib.Path,
        seed: int,
    ):
        """Prepares the fleet without starting it.

        Args:
            selected: Deployment to run.
            folder: Folder for settings files and logs.
            seed: Seed of the load.
        """
        plan = selected.plan()
        plan.relayed = True
        self.deployment = selected
        self.fleet = fleet.Fleet(plan, folder)
        self.generator = load.Generator(seed)
        self.cuts: list[tuple[str, str]] = []
        self.faulty_since: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.frozen: set[str] = set()
        self.down: set[str] = set()
        self.exit_codes: dict[str, int] = {}
        self.edited_at: dict[str, float] = {}
        self.revisions: dict[str, int] = {}
        self.texts = dict(selected.settings)
        self.ejected: set[str] = set()
        self.reverted: dict[str, str] = {}
        self._highest_revisions: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts the fleet and the polling of its status."""
        await self.fleet.start()
        self._tasks.append(asyncio.create_task(self._poll_status()))

    async def close(self) -> None:
        """Stops the load, the polling and all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.generator.close()
        self.fleet.close()

    def running_nodes(self) -> list[fleet.NodePlan]:
        """Returns the nodes that are neither stopped nor frozen."""
        unavailable = self.down | self.frozen
        return [n for n in self.fleet.plan.nodes if n.name not in unavailable]

    def worker(self, name: str) -> fleet.WorkerPlan:
        """Returns the worker with a name."""
        return next(w for w in self.workers() if w.name == name)

    def workers(self, service: str = "") -> list[fleet.WorkerPlan]:
        """Returns the workers of a service, or all for ""."""
        return [
            w
            for n in self.fleet.plan.nodes
            for w in n.workers
            if service in ("", w.service)
        ]

    def send(self, name: str, rate_per_s: float) -> None:
        """Starts the load of a flow, for up to `MAX_LOAD_S`."""
        flow = self.deployment.flows[name]
        flow_to_send = load.Flow(
            name,
            [n.public for n in self.fleet.plan.nodes],
            flow.method,
            flow.path,
            rate_per_s,
            flow.idempotent,
            self.deployment.layout.client_delay_ms / 1000,
        )
        run = self.generator.run([flow_to_send], MAX_LOAD_S)
        self._tasks.append(asyncio.create_task(run, name=f"send-{name}"))

    async def stop_sending(self) -> None:
        """Stops the load and waits for the requests in flight."""
        for task in self._tasks:
            if task.get_name().startswith("send-"):
                task.cancel()
        await self.generator.finish()

    async def set_behaviour(
        self, name: str, behaviour: target.Behaviour
    ) -> None:
        """Replaces a target's faults and records the time."""
        await self.fleet.set_behaviour(self.worker(name), behaviour)
        self.faulty_since[name] = time.monotonic()

    async def counts(self) -> verdict.Counts:
        """Counts the results so far, and checks them against the run logs."""
        runs = {w.name: await self.fleet.runs(w) for w in self.workers()}
        return verdict.count_results(self.generator.samples, runs)

    async def _poll_status(self) -> None:
        while True:
            for node in self.running_nodes():
                try:
                    status = await self.fleet.status_once(node)
                except OSError:
                    continue
                self._record_status(node.name, status)
            await asyncio.sleep(_POLL_S)

    def _record_status(self, node: str, status: dict) -> None:
        self.ejected |= {
            row["worker"] for row in status["targets"] if row["ejected"]
        }
        for row in status["teams"]:
            self._record_revision(node, row["team"], row["revision"])

    def _record_revision(self, node: str, team: str, revision: int) -> None:
        """Records it if a process goes back to an older revision."""
        process_and_team = f"{self.fleet.pid(node)} {team}"
        highest = self._highest_revisions.get(process_and_team, 0)
        if revision < highest:
            self.reverted[team] = f"{node} went from {highest} to {revision}"
        self._highest_revisions[process_and_team] = max(highest, revision)


@dataclasses.dataclass(slots=True)
class Deadline:
    """Deadline of a polling loop.

    Attributes:
        end: Time of the monotonic clock, in s.
        interval_s: Pause between two checks, in s.
    """

    end: float
    interval_s: float = 0.1

    async def has_passed(self) -> bool:
        """Returns True after the deadline; until then waits `interval_s`."""
        if time.monotonic() >= self.end:
            return True
        await asyncio.sleep(self.interval_s)
        return False
