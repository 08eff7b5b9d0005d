"""TCP relay between nodes for fault injection.

It delays connections, cuts them like a network partition, or drops their
bytes silently.
"""

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
    """All listeners.

    The upstream addresses have a different IP address for each node, by which
    the relay recognises the node that opens a connection.
    """

    routes: list[Route]


class Delay(msgspec.Struct):
    """Delay of the bytes from one place to another."""

    source: str
    destination: str
    one_way_ms: float


class Cut(msgspec.Struct):
    """Partition in one direction: no bytes from one place reach the other."""

    source: str
    destination: str


class Faults(msgspec.Struct):
    """Faults in force; a place is a node, a failure domain or `*` for all.

    Attributes:
        domain_delay_ms: One-way delay between failure domains, in ms.
        delays: Delays that take precedence over `domain_delay_ms`.
        cuts: Partitions.
    """

    domain_delay_ms: float = 0.0
    delays: list[Delay] = []
    cuts: list[Cut] = []


class Relay:
    """Relays connections between nodes, subject to the faults in force."""

    def __init__(self, layout: Layout):
        """Creates a relay that doesn't listen yet.

        Args:
            layout: Listeners and their nodes.
        """
        self._layout = layout
        self._nodes = {_host(r.upstream): r.node for r in layout.routes}
        self._domains = {r.node: r.failure_domain for r in layout.routes}
        self._faults = Faults()
        self._connections: set[pipes.Connection] = set()
        self._servers: list[asyncio.Server] = []
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
            server = await loop.create_server(
                lambda route=route: self._accept(route), host, int(port)
            )
            self._servers.append(server)

    async def close(self) -> None:
        """Closes the listeners and resets all connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        closing = list(self._connections)
        for connection in closing:
            connection.abort()
        for connection in closing:
            await connection.closed.wait()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults in force, also for open connections."""
        self._faults = faults
        for connection in self._connections:
            self._apply(connection)

    def silence(self) -> int:
        """Drops all further bytes of the open connections without closing them.

        New connections are relayed as usual.

        Returns:
            Number of connections that were open.
        """
        for connection in self._connections:
            connection.silence()
        return len(self._connections)

    def _accept(self, route: Route) -> asyncio.Protocol:
        connection = pipes.Connection(route.node, self._connections.discard)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(
            self._connect_upstream(connection, route)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection.client_end

    async def _connect_upstream(
        self, connection: pipes.Connection, route: Route
    ) -> None:
        try:
            await connection.accepted.wait()
            connection.source = self._nodes.get(connection.client_host, "")
            self._apply(connection)
            await connection.connectable.wait()
            host, _, port = route.upstream.rpartition(":")
            await asyncio.get_running_loop().create_connection(
                lambda: connection.server_end, host, int(port)
            )
        except OSError:
            connection.abort()

    def _apply(self, connection: pipes.Connection) -> None:
        source, destination = connection.source, connection.destination
        connection.set_conditions(
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
        return self._is_in_place(source, fault.source) and self._is_in_place(
            destination, fault.destination
        )

    def _is_in_place(self, node: str, place: str) -> bool:
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
    """Builds the HTTP application that controls the relay."""
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
    await relay.close()


def main(
    layout: Annotated[pathlib.Path, typer.Option(help="Listeners, in JSON.")],
    control: Annotated[str, typer.Option(help="IP number and port.")],
) -> None:
    """Relays TCP connections between nodes."""
    decoded = msgspec.json.decode(layout.read_bytes(), type=Layout)
    asyncio.run(_run(decoded, control))


if __name__ == "__main__":
    typer.run(main)
