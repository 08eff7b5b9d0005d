"""Demo of a small deployment under load with a fault and a planned stop.

The fault is a gray failure: the target passes health probes, and its real
requests fail.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time
from typing import Annotated

import typer

from sardinedoor_standins import deployment
from sardinedoor_standins import fleet
from sardinedoor_standins import load
from sardinedoor_standins import report
from sardinedoor_standins import target
from sardinedoor_standins import verdict

WARM_UP_S = 5.0
BASELINE_S = 10.0
GRAY_S = 15.0
STOP_S = 10.0
_POLL_S = 0.25
_DIRECT_SHARE = 0.2
EXIT_PROMISE_BROKEN = 1
EXIT_SETTINGS = 2
EXIT_INTERRUPTED = 130


@dataclasses.dataclass(slots=True)
class Event:
    """An injected fault or planned stop, in s of the monotonic clock."""

    at: float
    text: str


class Demo:
    """One run of the demo."""

    def __init__(
        self, selected: deployment.Deployment, folder: pathlib.Path, seed: int
    ):
        """Prepares the fleet without starting it.

        Args:
            selected: Deployment to run.
            folder: Folder for settings files and logs.
            seed: Seed of the load.
        """
        self._deployment = selected
        plan = selected.plan()
        plan.relayed = True
        self._fleet = fleet.Fleet(plan, folder)
        self._generator = load.Generator(seed)
        self._gray = ""
        self._gray_start = 0.0
        self._gray_end = 0.0
        self._ejected: set[str] = set()
        self._stopped = ""
        self._exit_code = -1
        self.events: list[Event] = []

    @property
    def samples(self) -> list[load.Sample]:
        """All requests and their results."""
        return self._generator.samples

    async def run(self) -> report.Report:
        """Runs the demo and returns the measurements."""
        try:
            return await self._run()
        finally:
            self._generator.close()
            self._fleet.close()

    async def _run(self) -> report.Report:
        plan = self._fleet.plan
        workers = sum(len(n.workers) for n in plan.nodes)
        _print_progress(
            f"starting {len(plan.nodes)} nodes, {workers} targets,"
            " the platform's stand-in and the relay"
        )
        await self._fleet.start()
        _print_progress(f"load: {self._describe_flows()}")
        poll_task = asyncio.create_task(self._poll_ejections())
        await self._generator.run(self._flows(), WARM_UP_S)
        baseline = len(self._generator.samples)
        await self._generator.run(self._flows_with_direct(), BASELINE_S)
        measured = self._generator.samples[baseline:]
        await self._start_gray_failure()
        await self._generator.run(self._flows(), GRAY_S)
        self._gray_end = time.monotonic()
        await self._stop_node()
        await self._generator.finish()
        poll_task.cancel()
        return await self._report(measured)

    def _describe_flows(self) -> str:
        return ", ".join(
            f"{f.rate_per_s:g}/s {f.method} {f.path}"
            for f in self._deployment.flows.values()
        )

    def _flows(self) -> list[load.Flow]:
        entries = [n.public for n in self._fleet.plan.nodes]
        delay_s = self._deployment.layout.client_delay_ms / 1000
        return [
            load.Flow(
                name,
                entries,
                flow.method,
                flow.path,
                flow.rate_per_s,
                flow.idempotent,
                delay_s,
            )
            for name, flow in self._deployment.flows.items()
        ]

    def _flows_with_direct(self) -> list[load.Flow]:
        """Adds flows that send the same requests directly to the targets."""
        direct = []
        for flow in self._flows():
            service = self._deployment.flows[flow.name].service
            entries = [w.address for w in self._workers(service)]
            direct.append(
                dataclasses.replace(
                    flow,
                    name=report.DIRECT_PREFIX + flow.name,
                    entries=entries,
                    rate_per_s=flow.rate_per_s * _DIRECT_SHARE,
                )
            )
        return self._flows() + direct

    def _workers(self, service: str) -> list[fleet.WorkerPlan]:
        return [
            w
            for n in self._fleet.plan.nodes
            for w in n.workers
            if w.service == service
        ]

    async def _start_gray_failure(self) -> None:
        worker = self._workers(self._deployment.layout.gray_service)[0]
        self._gray = worker.name
        self._record_event(
            f"{worker.name} turns gray: probes pass, real work fails"
        )
        await self._fleet.set_behaviour(
            worker, target.Behaviour(error_share=1.0)
        )
        self._gray_start = time.monotonic()

    def _record_event(self, text: str) -> None:
        self.events.append(Event(time.monotonic(), text))
        _print_progress(text)

    async def _stop_node(self) -> None:
        node = self._fleet.plan.nodes[-1]
        self._stopped = node.name
        self._record_event(f"{node.name} is stopped as planned")
        await self._fleet.publish(leaving=(node.name,))
        load_task = asyncio.create_task(
            self._generator.run(self._flows(), STOP_S)
        )
        self._exit_code = await self._fleet.stop(node.name)
        self._generator.remove_entry(node.public)
        await load_task

    async def _poll_ejections(self) -> None:
        """Polls the nodes and collects the targets that they have ejected."""
        while True:
            for node in self._fleet.plan.nodes:
                if node.name != self._stopped:
                    self._ejected |= await self._fleet.ejected_workers(node)
            await asyncio.sleep(_POLL_S)

    async def _report(self, measured: list[load.Sample]) -> report.Report:
        runs = {
            worker.name: await self._fleet.runs(worker)
            for node in self._fleet.plan.nodes
            for worker in node.workers
        }
        return report.Report(
            deployment=self._deployment.name,
            counts=verdict.count_results(self._generator.samples, runs),
            gray=self._gray,
            detection=verdict.measure_detection(
                runs[self._gray], self._gray_start, self._gray_end
            ),
            false_ejections=sorted(self._ejected - {self._gray}),
            stopped=self._stopped,
            stop_exit_code=self._exit_code,
            latencies=report.latency_rows(measured),
        )


def _print_progress(text: str) -> None:
    stamp = time.strftime("%H:%M:%S")
    print(f"[{stamp}] {text}", file=sys.stderr, flush=True)


async def run_interruptible(demo: Demo) -> report.Report:
    """Runs a demo that SIGINT and SIGTERM cancel, with all its processes."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await demo.run()


def main(
    deployment_name: Annotated[
        str, typer.Option("--deployment", help="Folder below examples.")
    ] = "attica",
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Runs the demo; the exit code is 1 where a promise was broken."""
    try:
        selected = deployment.load(deployment.EXAMPLES / deployment_name)
    except deployment.DeploymentError as e:
        print(e)
        raise typer.Exit(EXIT_SETTINGS) from e
    print(f"sardinedoor demo: {deployment_name}, seed {seed}")
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(selected, pathlib.Path(folder), seed)
        try:
            result = asyncio.run(run_interruptible(demo))
        except asyncio.CancelledError as e:
            print("interrupted; everything was stopped")
            raise typer.Exit(EXIT_INTERRUPTED) from e
    print(result.table())
    if result.broken:
        raise typer.Exit(EXIT_PROMISE_BROKEN)


if __name__ == "__main__":
    typer.run(main)
