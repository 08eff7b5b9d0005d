"""Links between nodes in memory, with faults drawn from a seed."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

from sardinedoor_node import link
from sardinedoor_node.link import dispatch
from sardinedoor_schema import frames
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    import random

    from sardinedoor_node import metrics
    from sardinedoor_schema import base
    from sardinedoor_standins import virtualtime

DELAY_S = 0.0015


@dataclasses.dataclass(slots=True)
class FrameFaults:
    """How often frames meet each fault, and how much later they come."""

    lost: float = 0.0
    refused: float = 0.0
    doubled: float = 0.0
    delayed: float = 0.0
    truncated: float = 0.0
    longest_delay_s: float = 0.0


# Returns the delay in s of each copy of a message that arrives; None leaves
# the message to the faults drawn from the seed.
Script = Callable[["base.Message"], "list[float] | None"]


class Network:
    """Delivers frames between the transports of one timeline."""

    def __init__(
        self,
        timeline: virtualtime.Timeline,
        rng: random.Random,
        faults: FrameFaults | None = None,
    ):
        """Starts without a cut.

        Args:
            timeline: The time.
            rng: Source of randomness.
            faults: Faults of frames; none by default.
        """
        self._timeline = timeline
        self._rng = rng
        self._faults = faults or FrameFaults()
        self._transports: dict[str, MemoryTransport] = {}
        self._cuts: dict[tuple[str, str], float] = {}
        self.sent = 0
        self.on_sent: list[Callable[[str, str], None]] = []
        self.script: Script | None = None

    def attach(self, transport: MemoryTransport) -> None:
        """Puts a transport at its name, in place of the one before."""
        self._transports[transport.name] = transport

    def detach(self, name: str) -> None:
        """Takes a transport away."""
        self._transports.pop(name, None)

    def cut(self, source: str, destination: str, seconds: float) -> None:
        """Loses all frames of one direction for a while."""
        self._cuts[source, destination] = self._timeline.now + seconds

    def send(self, source: str, destination: str, frame: bytes) -> bool:
        """Takes a frame.

        Args:
            source: Name of the sender.
            destination: Name of the receiver.
            frame: The frame.

        Returns:
            False if it was refused, and won't arrive.
        """
        self.sent += 1
        for listener in self.on_sent:
            listener(source, destination)
        delays_s = self.script and self.script(frames.decode(frame))
        if delays_s is not None:
            for delay_s in delays_s:
                self._arrive(source, destination, frame, delay_s)
            return True
        if self._rng.random() < self._faults.refused:
            return False
        if self._is_cut(source, destination) or self._hits("lost"):
            return True
        if self._hits("truncated"):
            frame = self._truncated(frame)
        self._later(source, destination, frame)
        if self._hits("doubled"):
            self._later(source, destination, frame)
        return True

    def _truncated(self, frame: bytes) -> bytes:
        message = frames.decode(frame)
        if isinstance(message, wire.Reply) and self._rng.random() < 0.5:
            # A whole frame around an answer that isn't.
            message.body = message.body[:-1]
            return frames.encode(message)
        return frame[: self._rng.randrange(len(frame))]

    def _hits(self, fault: str) -> bool:
        return self._rng.random() < getattr(self._faults, fault)

    def _is_cut(self, source: str, destination: str) -> bool:
        return self._timeline.now < self._cuts.get((source, destination), 0.0)

    def _later(self, source: str, destination: str, frame: bytes) -> None:
        delay_s = DELAY_S
        if self._hits("delayed"):
            delay_s += self._rng.uniform(0, self._faults.longest_delay_s)
        self._arrive(source, destination, frame, delay_s)

    def _arrive(
        self, source: str, destination: str, frame: bytes, delay_s: float
    ) -> None:
        def arrive() -> None:
            transport = self._transports.get(destination)
            if transport is not None:
                transport.arrive(source, frame)

        self._timeline.call_at(self._timeline.now + delay_s, arrive)


class MemoryChannel(link.Channel):
    """Sends from one node to another."""

    def __init__(self, network: Network, source: str, destination: str):
        self._network = network
        self._source = source
        self._destination = destination

    def send(self, message: base.Message) -> bool:
        """See base class."""
        frame = frames.encode(message)
        return self._network.send(self._source, self._destination, frame)


class MemoryTransport(link.Transport):
    """Links of one node."""

    def __init__(
        self,
        name: str,
        network: Network,
        loop: virtualtime.VirtualLoop,
        counters: metrics.Metrics,
    ):
        """Attaches itself to the network.

        Args:
            name: Name of the node.
            network: The network.
            loop: The node's loop.
            counters: Where dropped frames are counted.
        """
        self.name = name
        self._network = network
        self._loop = loop
        self._dispatcher = dispatch.Dispatcher(counters)
        self._channels: dict[str, MemoryChannel] = {}
        network.attach(self)

    def connect(self, name: str, address: str) -> link.Channel:
        """See base class."""
        del address
        channel = self._channels.get(name)
        if channel is None:
            channel = MemoryChannel(self._network, self.name, name)
            self._channels[name] = channel
        return channel

    def on_message(
        self, cls: type[base.Message], receiver: link.Receiver
    ) -> None:
        """See base class."""
        self._dispatcher.register(cls, receiver)

    def arrive(self, source: str, frame: bytes) -> None:
        """Hands a frame to the node's loop."""
        channel = self.connect(source, "")
        self._loop.deliver(lambda: self._dispatcher.receive(channel, frame))
