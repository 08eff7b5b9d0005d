"""Steps that do something to the fleet."""

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
    """Starts all processes."""

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
        fleet_bench.left_at.pop(self.node, None)
        await fleet_bench.fleet.publish(tuple(fleet_bench.left_at))


@dataclasses.dataclass(slots=True)
class StopNode(scenario.Step):
    """Stops a node as planned."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.left_at.setdefault(self.node, time.monotonic())
        fleet_bench.down.add(self.node)
        await fleet_bench.fleet.publish(tuple(fleet_bench.left_at))
        code = await fleet_bench.fleet.stop(self.node)
        fleet_bench.exit_codes[self.node] = code


@dataclasses.dataclass(slots=True)
class TellNode(scenario.Step):
    """Tells a node to stop, and goes on while it drains."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.left_at[self.node] = time.monotonic()
        fleet_bench.down.add(self.node)
        fleet_bench.fleet.signal(self.node, signal.SIGTERM)


class RollNodes(scenario.Step):
    """Stops and starts each node, one after the other."""

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
    """Kills a node without warning; its targets go on."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.down.add(self.node)
        fleet_bench.fleet.kill(self.node)


@dataclasses.dataclass(slots=True)
class FreezeNode(scenario.Step):
    """Pauses a node's process."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.frozen.add(self.node)
        fleet_bench.fleet.signal(self.node, signal.SIGSTOP)


@dataclasses.dataclass(slots=True)
class WakeNode(scenario.Step):
    """Lets a paused process go on."""

    node: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.fleet.signal(self.node, signal.SIGCONT)
        fleet_bench.frozen.discard(self.node)


@dataclasses.dataclass(slots=True)
class Send(scenario.Step):
    """Begins to send requests."""

    flow: str
    rate_per_s: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.send(self.flow, self.rate_per_s)


class StopSending(scenario.Step):
    """Ends the load and waits for what is in flight."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.stop_sending()


@dataclasses.dataclass(slots=True)
class Wait(scenario.Step):
    """Lets time pass."""

    seconds: float

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await asyncio.sleep(self.seconds)


@dataclasses.dataclass(slots=True)
class Cut(scenario.Step):
    """Cuts links one way."""

    source: str
    destination: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.cuts.append((self.source, self.destination))
        await fleet_bench.fleet.cut(*fleet_bench.cuts)


class Heal(scenario.Step):
    """Heals all cuts."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        fleet_bench.cuts.clear()
        await fleet_bench.fleet.cut()


class Silence(scenario.Step):
    """Makes all open links go silent for good; new ones work."""

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.fleet.silence()


class _Platform(scenario.Step):
    faults = board.Faults()

    async def run(self, fleet_bench: bench.Bench) -> None:
        await fleet_bench.fleet.set_platform_faults(self.faults)


class PlatformDown(_Platform):
    """Each call to the platform is refused; what is stale stays so."""

    faults = board.Faults(down=True, stale=True)


class PlatformHanging(_Platform):
    """No call to the platform is answered."""

    faults = board.Faults(hang=True)


class PlatformStale(_Platform):
    """The platform tells only what it had published until now."""

    faults = board.Faults(stale=True)


class PlatformSplit(_Platform):
    """Every other answer tells only what was published until now."""

    faults = board.Faults(split=True)


class PlatformUp(_Platform):
    """The platform answers again."""


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
class Fails(scenario.Step):
    """A share of a target's real work fails; probes pass."""

    worker: str
    failing: int
    of: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        share = self.failing / self.of
        await fleet_bench.behave(
            self.worker, target.Behaviour(error_share=share)
        )


@dataclasses.dataclass(slots=True)
class Hangs(scenario.Step):
    """A target never finishes; probes pass."""

    worker: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.behave(self.worker, target.Behaviour(hang=True))


@dataclasses.dataclass(slots=True)
class Slows(scenario.Step):
    """A target takes several times as long; probes pass."""

    worker: str
    factor: int

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.behave(
            self.worker, target.Behaviour(slow_factor=self.factor)
        )


@dataclasses.dataclass(slots=True)
class AllFail(scenario.Step):
    """All real work of a service fails."""

    service: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        for worker in fleet_bench.workers(self.service):
            await Fails(worker.name, 1, 1).run(fleet_bench)


@dataclasses.dataclass(slots=True)
class Recovers(scenario.Step):
    """A target does its work again."""

    worker: str

    async def run(self, fleet_bench: bench.Bench) -> None:
        """See base class."""
        await fleet_bench.behave(self.worker, target.Behaviour())


STEPS: dict[str, type[scenario.Step]] = {
    "start_fleet": StartFleet,
    "start_node": StartNode,
    "stop_node": StopNode,
    "tell_node": TellNode,
    "roll_nodes": RollNodes,
    "kill_node": KillNode,
    "freeze_node": FreezeNode,
    "wake_node": WakeNode,
    "send": Send,
    "stop_sending": StopSending,
    "wait": Wait,
    "cut": Cut,
    "heal": Heal,
    "silence": Silence,
    "platform_down": PlatformDown,
    "platform_hanging": PlatformHanging,
    "platform_stale": PlatformStale,
    "platform_split": PlatformSplit,
    "platform_up": PlatformUp,
    "edit": Edit,
    "fails": Fails,
    "hangs": Hangs,
    "slows": Slows,
    "all_fail": AllFail,
    "recovers": Recovers,
}
