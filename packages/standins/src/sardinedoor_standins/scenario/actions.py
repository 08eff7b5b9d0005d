"""Steps that act on the fleet or inject faults."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
import time
from typing import TYPE_CHECKING

from sardinedoor_standins import board
from sardinedoor_standins import scenario
from sardinedoor_standins import target

if TYPE_CHECKING:
    from sardinedoor_standins.scenario import bench


class StartFleet(scenario.Step):
    """Starts all processes of the fleet."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.start()


@dataclasses.dataclass(slots=True)
class StartNode(scenario.Step):
    """Starts a node that was stopped or killed."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        plan = fleet_bench.fleet.node(self.node)
        fleet_bench.fleet.spawn_node(plan)
        await fleet_bench.fleet.wait_ready(plan)
        fleet_bench.down.discard(self.node)
        fleet_bench.leaving_since.pop(self.node, None)
        await fleet_bench.fleet.publish(tuple(fleet_bench.leaving_since))


@dataclasses.dataclass(slots=True)
class StopNode(scenario.Step):
    """Lists a node as leaving, stops it by SIGTERM and waits for its exit."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.leaving_since.setdefault(self.node, time.monotonic())
        fleet_bench.down.add(self.node)
        await fleet_bench.fleet.publish(tuple(fleet_bench.leaving_since))
        code = await fleet_bench.fleet.stop(self.node)
        fleet_bench.exit_codes[self.node] = code


@dataclasses.dataclass(slots=True)
class SignalNode(scenario.Step):
    """Sends SIGTERM to a node without waiting until it has drained."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.leaving_since[self.node] = time.monotonic()
        fleet_bench.down.add(self.node)
        fleet_bench.fleet.signal(self.node, signal.SIGTERM)


class RollNodes(scenario.Step):
    """Restarts the nodes one after the other, as a rolling update does."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        for node in fleet_bench.fleet.plan.nodes:
            await StopNode(node.name).run(fleet_bench)
            code = fleet_bench.exit_codes[node.name]
            if code != 0:
                raise scenario.ExpectationError(
                    f"{node.name} exited with {code}"
                )
            await StartNode(node.name).run(fleet_bench)


@dataclasses.dataclass(slots=True)
class KillNode(scenario.Step):
    """Kills the process of a node; its targets keep running."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.down.add(self.node)
        fleet_bench.fleet.kill(self.node)


@dataclasses.dataclass(slots=True)
class FreezeNode(scenario.Step):
    """Pauses the process of a node by SIGSTOP."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.frozen.add(self.node)
        fleet_bench.fleet.signal(self.node, signal.SIGSTOP)


@dataclasses.dataclass(slots=True)
class ResumeNode(scenario.Step):
    """Resumes a paused process by SIGCONT."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.fleet.signal(self.node, signal.SIGCONT)
        fleet_bench.frozen.discard(self.node)


@dataclasses.dataclass(slots=True)
class Send(scenario.Step):
    """Starts to send the requests of a flow at a given rate."""

    flow: str
    rate_per_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.send(self.flow, self.rate_per_s)


class StopSending(scenario.Step):
    """Stops the load and waits for the requests in flight."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.stop_sending()


@dataclasses.dataclass(slots=True)
class Wait(scenario.Step):
    """Waits for some seconds."""

    seconds: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await asyncio.sleep(self.seconds)


@dataclasses.dataclass(slots=True)
class CutLinks(scenario.Step):
    """Cuts links in one direction, in addition to earlier cuts."""

    source: str
    destination: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.cuts.append((self.source, self.destination))
        await fleet_bench.fleet.cut(*fleet_bench.cuts)


class HealLinks(scenario.Step):
    """Ends all cuts of links."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.cuts.clear()
        await fleet_bench.fleet.cut()


class SilenceLinks(scenario.Step):
    """Drops all further bytes of the open links, but not of new links."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.fleet.silence()


class _SetPlatformFaults(scenario.Step):
    faults = board.Faults()

    async def run(self, fleet_bench: bench.Bench) -> None:
        await fleet_bench.fleet.set_platform_faults(self.faults)


class PlatformDown(_SetPlatformFaults):
    """Refuses all calls to the platform.

    The stale fault is on as well: if it was on before, its snapshot of the data
    is kept, for a later step that makes the platform stale.
    """

    faults = board.Faults(down=True, stale=True)


class PlatformHanging(_SetPlatformFaults):
    """Leaves all calls to the platform without an answer."""

    faults = board.Faults(hang=True)


class PlatformStale(_SetPlatformFaults):
    """Makes all further answers show a snapshot of the platform's data.

    The snapshot is taken when the step runs; an earlier one is kept if the
    platform is stale or split already.
    """

    faults = board.Faults(stale=True)


class PlatformSplit(_SetPlatformFaults):
    """Makes every second answer show a snapshot of the platform's data.

    The answers in between show the current data. For the time of the snapshot
    see `PlatformStale`.
    """

    faults = board.Faults(split=True)


class PlatformUp(_SetPlatformFaults):
    """Removes all faults of the platform."""


@dataclasses.dataclass(slots=True)
class Edit(scenario.Step):
    """Edits a team's settings at the platform."""

    team: str
    old: str
    new: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        text = fleet_bench.texts[self.team]
        if self.old not in text:
            raise scenario.ExpectationError(f"{self.old!r} isn't in {text!r}")
        text = text.replace(self.old, self.new)
        fleet_bench.texts[self.team] = text
        revision = await fleet_bench.fleet.edit(self.team, text)
        fleet_bench.revisions[self.team] = revision
        fleet_bench.edited_at[self.team] = time.monotonic()


@dataclasses.dataclass(slots=True)
class FailRequests(scenario.Step):
    """Makes `failing` out of `of` requests to a target fail.

    Health probes succeed.
    """

    worker: str
    failing: int
    of: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        share = self.failing / self.of
        await fleet_bench.set_behaviour(
            self.worker, target.Behaviour(error_share=share)
        )


@dataclasses.dataclass(slots=True)
class HangTarget(scenario.Step):
    """Leaves the requests to a target unanswered; health probes succeed."""

    worker: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.set_behaviour(
            self.worker, target.Behaviour(hang=True)
        )


@dataclasses.dataclass(slots=True)
class SlowTarget(scenario.Step):
    """Multiplies the service time of a target; health probes succeed."""

    worker: str
    factor: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.set_behaviour(
            self.worker, target.Behaviour(slow_factor=self.factor)
        )


@dataclasses.dataclass(slots=True)
class LimitTarget(scenario.Step):
    """Makes a target announce how many requests a second it accepts."""

    worker: str
    rate_limit: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.set_behaviour(
            self.worker, target.Behaviour(rate_limit=self.rate_limit)
        )


@dataclasses.dataclass(slots=True)
class FailService(scenario.Step):
    """Makes all requests to a service fail; health probes succeed."""

    service: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        for worker in fleet_bench.workers(self.service):
            await FailRequests(worker.name, 1, 1).run(fleet_bench)


@dataclasses.dataclass(slots=True)
class RecoverTarget(scenario.Step):
    """Removes all faults of a target."""

    worker: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.set_behaviour(self.worker, target.Behaviour())


STEPS: dict[str, type[scenario.Step]] = {
    "start_fleet": StartFleet,
    "start_node": StartNode,
    "stop_node": StopNode,
    "tell_node": SignalNode,
    "roll_nodes": RollNodes,
    "kill_node": KillNode,
    "freeze_node": FreezeNode,
    "wake_node": ResumeNode,
    "send": Send,
    "stop_sending": StopSending,
    "wait": Wait,
    "cut": CutLinks,
    "heal": HealLinks,
    "silence": SilenceLinks,
    "platform_down": PlatformDown,
    "platform_hanging": PlatformHanging,
    "platform_stale": PlatformStale,
    "platform_split": PlatformSplit,
    "platform_up": PlatformUp,
    "edit": Edit,
    "fails": FailRequests,
    "hangs": HangTarget,
    "slows": SlowTarget,
    "accepts": LimitTarget,
    "all_fail": FailService,
    "recovers": RecoverTarget,
}
