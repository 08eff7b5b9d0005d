"""In-memory links between nodes, with fault injection drawn from a seed."""

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
    """Probability of each fault per frame, and the longest extra delay."""

    lost: float = 0.0
    refused: float = 0.0
    doubled: float = 0.0
    delayed: float = 0.0
    truncated: float = 0.0
    longest_delay_s: float = 0.0


# Decides the delivery of a message: returns the delay in s of each copy that
# arrives (an empty list loses the message), or None to apply the random faults.
Script = Callable[["base.Message"], "list[float] | None"]


class Network:
    """Delivers frames between the transports of one timeline."""

    def __init__(
        self,
        timeline: virtualtime.Timeline,
        rng: random.Random,
        faults: FrameFaults | None = None,
    ):
        """Creates a network without nodes or partitions.

        Args:
            timeline: Virtual clock that delivers the frames.
            rng: Random source of the faults.
            faults: Probabilities of the faults; all 0 by default.
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
        """Registers a transport by its name, and replaces an earlier one."""
        self._transports[transport.name] = transport

    def detach(self, name: str) -> None:
        """Unregisters a transport; frames on the way to it are lost."""
        self._transports.pop(name, None)

    def cut(self, source: str, destination: str, seconds: float) -> None:
        """Drops all frames sent in one direction for some seconds."""
        self._cuts[source, destination] = self._timeline.now + seconds

    def send(self, source: str, destination: str, frame: bytes) -> bool:
        """Sends a frame, subject to the script and the faults.

        Args:
            source: Name of the sender.
            destination: Name of the receiver.
            frame: The frame.

        Returns:
            False if the network refused the frame, which then never arrives.
        """
        self.sent += 1
        for listener in self.on_sent:
            listener(source, destination)
        delays_s = self.script and self.script(frames.decode(frame))
        if delays_s is not None:
            for delay_s in delays_s:
                self._schedule_arrival(source, destination, frame, delay_s)
            return True
        if self._rng.random() < self._faults.refused:
            return False
        if self._is_cut(source, destination) or self._occurs("lost"):
            return True
        if self._occurs("truncated"):
            frame = self._truncate(frame)
        self._deliver(source, destination, frame)
        if self._occurs("doubled"):
            self._deliver(source, destination, frame)
        return True

    def _truncate(self, frame: bytes) -> bytes:
        message = frames.decode(frame)
        if isinstance(message, wire.Reply) and self._rng.random() < 0.5:
            # The frame is valid, but its body is shorter than announced.
            message.body = message.body[:-1]
            return frames.encode(message)
        return frame[: self._rng.randrange(len(frame))]

    def _occurs(self, fault: str) -> bool:
        return self._rng.random() < getattr(self._faults, fault)

    def _is_cut(self, source: str, destination: str) -> bool:
        return self._timeline.now < self._cuts.get((source, destination), 0.0)

    def _deliver(self, source: str, destination: str, frame: bytes) -> None:
        delay_s = DELAY_S
        if self._occurs("delayed"):
            delay_s += self._rng.uniform(0, self._faults.longest_delay_s)
        self._schedule_arrival(source, destination, frame, delay_s)

    def _schedule_arrival(
        self, source: str, destination: str, frame: bytes, delay_s: float
    ) -> None:
        def arrive() -> None:
            transport = self._transports.get(destination)
            if transport is not None:
                transport.receive(source, frame)

        self._timeline.call_at(self._timeline.now + delay_s, arrive)


class MemoryChannel(link.Channel):
    """Channel that sends frames from one node to another."""

    def __init__(self, network: Network, source: str, destination: str):
        self._network = network
        self._source = source
        self._destination = destination

    def send(self, message: base.Message) -> bool:
        """See base class."""
        frame = frames.encode(message)
        return self._network.send(self._source, self._destination, frame)


class MemoryTransport(link.Transport):
    """Transport of one node."""

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
            network: Network that carries the frames.
            loop: Event loop of the node.
            counters: Metrics that count the dropped frames.
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

    def receive(self, source: str, frame: bytes) -> None:
        """Dispatches a frame in the node's event loop."""
        channel = self.connect(source, "")
        self._loop.deliver(lambda: self._dispatcher.receive(channel, frame))
