"""The fleet of a scenario, its load, and what was seen of it."""

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
_WATCH_S = 0.2


class Bench:
    """Everything that the steps of a scenario act on."""

    def __init__(
        self,
        chosen: deployment.Deployment,
        folder: pathlib.Path,
        seed: int,
    ):
        """Prepares the fleet; nothing is started yet.

        Args:
            chosen: The deployment.
            folder: Where settings files and logs go.
            seed: Seed of the load.
        """
        plan = chosen.plan()
        plan.relayed = True
        self.deployment = chosen
        self.fleet = fleet.Fleet(plan, folder)
        self.generator = load.Generator(seed)
        self.cuts: list[tuple[str, str]] = []
        self.faulty_since: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.frozen: set[str] = set()
        self.down: set[str] = set()
        self.exit_codes: dict[str, int] = {}
        self.edited_at: dict[str, float] = {}
        self.revisions: dict[str, int] = {}
        self.texts = dict(chosen.settings)
        self.ejected: set[str] = set()
        self.reverted: dict[str, str] = {}
        self._highest: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts the fleet and begins to watch it."""
        await self.fleet.start()
        self._tasks.append(asyncio.create_task(self._watch()))

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.generator.close()
        self.fleet.close()

    def running(self) -> list[fleet.NodePlan]:
        """Lists the nodes that are up and not frozen."""
        away = self.down | self.frozen
        return [n for n in self.fleet.plan.nodes if n.name not in away]

    def worker(self, name: str) -> fleet.WorkerPlan:
        """Finds a worker."""
        return next(w for w in self.workers() if w.name == name)

    def workers(self, service: str = "") -> list[fleet.WorkerPlan]:
        """Lists the workers of a service, or all."""
        return [
            w
            for n in self.fleet.plan.nodes
            for w in n.workers
            if service in ("", w.service)
        ]

    def send(self, name: str, rate_per_s: float) -> None:
        """Begins to send the requests of a flow."""
        flow = self.deployment.flows[name]
        sent = load.Flow(
            name,
            [n.public for n in self.fleet.plan.nodes],
            flow.method,
            flow.path,
            rate_per_s,
            flow.idempotent,
            self.deployment.layout.client_delay_ms / 1000,
        )
        run = self.generator.run([sent], MAX_LOAD_S)
        self._tasks.append(asyncio.create_task(run, name=f"send-{name}"))

    async def stop_sending(self) -> None:
        """Sends nothing more and waits for the requests in flight."""
        for task in self._tasks:
            if task.get_name().startswith("send-"):
                task.cancel()
        await self.generator.finish()

    async def behave(self, name: str, behaviour: target.Behaviour) -> None:
        """Changes a target and notes since when it is faulty."""
        await self.fleet.behave(self.worker(name), behaviour)
        self.faulty_since[name] = time.monotonic()

    async def counts(self) -> verdict.Counts:
        """Compares what callers saw with the run logs so far."""
        runs = {w.name: await self.fleet.runs(w) for w in self.workers()}
        return verdict.count(self.generator.samples, runs)

    async def _watch(self) -> None:
        while True:
            for node in self.running():
                try:
                    status = await self.fleet.status_once(node)
                except OSError:
                    continue
                self._note(node.name, status)
            await asyncio.sleep(_WATCH_S)

    def _note(self, node: str, status: dict) -> None:
        self.ejected |= {
            row["worker"] for row in status["targets"] if row["ejected"]
        }
        for row in status["teams"]:
            self._note_revision(node, row["team"], row["revision"])

    def _note_revision(self, node: str, team: str, revision: int) -> None:
        """Notes a revision below one that the same process had before."""
        process = f"{self.fleet.pid(node)} {team}"
        highest = self._highest.get(process, 0)
        if revision < highest:
            self.reverted[team] = f"{node} went from {highest} to {revision}"
        self._highest[process] = max(highest, revision)


@dataclasses.dataclass(slots=True)
class Deadline:
    """A point in time until which a check is repeated."""

    end: float
    interval_s: float = 0.1

    async def passed(self) -> bool:
        """Waits a moment; True once the time is up."""
        if time.monotonic() >= self.end:
            return True
        await asyncio.sleep(self.interval_s)
        return False
