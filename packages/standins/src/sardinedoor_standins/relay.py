"""TCP relay between nodes that delays, cuts and silences connections."""

from __future__ import annotations

import asyncio
import pathlib
import signal
from typing import Annotated

import msgspec
from tornado import web
import typer

from sardinedoor_standins import pipes


class Route(msgspec.Struct):
    """A listener in front of the link address of one node."""

    node: str
    failure_domain: str
    listen: str
    upstream: str


class Layout(msgspec.Struct):
    """All listeners; each node has an IP number of its own."""

    routes: list[Route]


class Delay(msgspec.Struct):
    """Time that bytes take from one place to another."""

    source: str
    destination: str
    one_way_ms: float


class Cut(msgspec.Struct):
    """Nothing passes from one place to another."""

    source: str
    destination: str


class Faults(msgspec.Struct):
    """What the relay does; places are nodes, failure domains or `*`."""

    domain_delay_ms: float = 0.0
    delays: list[Delay] = []
    cuts: list[Cut] = []


class Relay:
    """Connections between nodes, and the faults in force."""

    def __init__(self, layout: Layout):
        """Nothing listens yet.

        Args:
            layout: Listeners and nodes.
        """
        self._layout = layout
        self._nodes = {_host(r.upstream): r.node for r in layout.routes}
        self._domains = {r.node: r.failure_domain for r in layout.routes}
        self._faults = Faults()
        self._connections: set[pipes.Connection] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    async def listen(self) -> None:
        """Opens all listeners."""
        loop = asyncio.get_running_loop()
        for route in self._layout.routes:
            host, _, port = route.listen.rpartition(":")
            await loop.create_server(
                lambda route=route: self._accept(route), host, int(port)
            )

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults in force."""
        self._faults = faults
        for connection in self._connections:
            self._apply(connection)

    def silence(self) -> int:
        """Loses track of all connections; new ones work."""
        for connection in self._connections:
            connection.silence()
        return len(self._connections)

    def _accept(self, route: Route) -> asyncio.Protocol:
        connection = pipes.Connection(route.node, self._connections.discard)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(
            self._open(connection, route)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection.caller

    async def _open(self, connection: pipes.Connection, route: Route) -> None:
        try:
            await connection.accepted.wait()
            connection.source = self._nodes.get(connection.caller_host, "")
            self._apply(connection)
            await connection.passable.wait()
            host, _, port = route.upstream.rpartition(":")
            await asyncio.get_running_loop().create_connection(
                lambda: connection.listener, host, int(port)
            )
        except OSError:
            connection.abort()

    def _apply(self, connection: pipes.Connection) -> None:
        source, destination = connection.source, connection.destination
        connection.set_path(
            self._delay_s(source, destination),
            self._is_cut(source, destination),
            self._is_cut(destination, source),
        )

    def _delay_s(self, source: str, destination: str) -> float:
        for delay in self._faults.delays:
            if self._matches(delay, source, destination):
                return delay.one_way_ms / 1000
        if self._domains.get(source) == self._domains.get(destination):
            return 0.0
        return self._faults.domain_delay_ms / 1000

    def _is_cut(self, source: str, destination: str) -> bool:
        return any(
            self._matches(cut, source, destination) for cut in self._faults.cuts
        )

    def _matches(
        self, fault: Cut | Delay, source: str, destination: str
    ) -> bool:
        return self._is_in(source, fault.source) and self._is_in(
            destination, fault.destination
        )

    def _is_in(self, node: str, place: str) -> bool:
        return place in ("*", node, self._domains.get(node))


def _host(address: str) -> str:
    return address.rpartition(":")[0]


class _FaultsHandler(web.RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self._relay = relay

    def get(self) -> None:
        self.finish(msgspec.json.encode(self._relay.faults))

    def put(self) -> None:
        faults = msgspec.json.decode(self.request.body, type=Faults)
        self._relay.set_faults(faults)


class _SilenceHandler(web.RequestHandler):
    def initialize(self, relay: Relay) -> None:
        self._relay = relay

    def put(self) -> None:
        self.finish({"connections": self._relay.silence()})


def make_application(relay: Relay) -> web.Application:
    """Builds the control application."""
    return web.Application(
        [
            ("/faults", _FaultsHandler, {"relay": relay}),
            ("/silence", _SilenceHandler, {"relay": relay}),
        ],
        log_function=lambda handler: None,
    )


async def _run(layout: Layout, control: str) -> None:
    relay = Relay(layout)
    await relay.listen()
    host, _, port = control.rpartition(":")
    make_application(relay).listen(int(port), address=host)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def main(
    layout: Annotated[pathlib.Path, typer.Option(help="Listeners, in JSON.")],
    control: Annotated[str, typer.Option(help="IP number and port.")],
) -> None:
    """Relays TCP connections between nodes."""
    decoded = msgspec.json.decode(layout.read_bytes(), type=Layout)
    asyncio.run(_run(decoded, control))


if __name__ == "__main__":
    typer.run(main)
