"""Fake target over HTTP that logs every run and supports fault injection."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import signal
import time
from typing import Annotated

import msgspec
from tornado import web
import typer

from sardinedoor_node.owner import dialect

_CRASH_STATUS = 70


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Service time and injected faults of a target.

    Attributes:
        service_ms: Mean service time of a request, in ms.
        error_share: Share of requests that are answered with status 500.
        slow_factor: Factor on the service time.
        hang: Whether requests are left without an answer.
        crash_on: Text in the URI of a request that ends the process; "" for
            none.
        probe_status: Status of the answers to health probes, which the other
            faults don't affect.
        cold_start_ms: Has no effect on this target.
        rate_limit: Requests per second that it announces as its limit; None
            for no limit. It runs further requests all the same.
    """

    service_ms: float = 5.0
    error_share: float = 0.0
    slow_factor: float = 1.0
    hang: bool = False
    crash_on: str = ""
    probe_status: int = 200
    cold_start_ms: float = 0.0
    rate_limit: float | None = None


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request."""

    request_id: str
    method: str
    path: str
    started: float
    finished: float = 0.0
    status: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """Configuration, run log and load of one target."""

    name: str
    slots: int
    behaviour: Behaviour
    runs: list[Run]
    rng: random.Random
    running: int = 0


class _WorkHandler(web.RequestHandler):
    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "PUT",
        "PATCH",
        "DELETE",
        "OPTIONS",
    )

    def initialize(self, state: State) -> None:
        self._state = state

    async def _handle(self) -> None:
        state = self._state
        behaviour = state.behaviour
        run = Run(
            self.request.headers.get("X-Request-Id", ""),
            self.request.method,
            self.request.uri,
            time.monotonic(),
        )
        state.runs.append(run)
        state.running += 1
        try:
            await self._simulate_run(behaviour)
            failed = state.rng.random() < behaviour.error_share
            run.status = 500 if failed else 200
            run.finished = time.monotonic()
            self.set_status(run.status)
            self.set_header("X-Worker", state.name)
            if behaviour.rate_limit is not None:
                limit = f"{behaviour.rate_limit:g}"
                self.set_header(dialect.RATE_LIMIT_HEADER, limit)
            echo = self.request.headers.get("X-Request-Id", "")
            self.set_header("X-Request-Id", echo)
            self.finish(f"{state.name} {self.request.uri} {echo}\n")
        finally:
            state.running -= 1

    async def _simulate_run(self, behaviour: Behaviour) -> None:
        if behaviour.hang:
            await asyncio.sleep(3600)
        if behaviour.crash_on and behaviour.crash_on in self.request.uri:
            os._exit(_CRASH_STATUS)
        seconds = behaviour.service_ms * behaviour.slow_factor / 1000
        await asyncio.sleep(seconds * self._state.rng.uniform(0.8, 1.2))

    get = head = post = put = patch = delete = options = _handle


class _ControlHandler(web.RequestHandler):
    def initialize(self, state: State) -> None:
        self._state = state

    def get(self) -> None:
        self.finish(msgspec.json.encode(self._state.runs))

    def put(self) -> None:
        self._state.behaviour = msgspec.json.decode(
            self.request.body, type=Behaviour
        )


class _ProbeHandler(web.RequestHandler):
    def initialize(self, state: State) -> None:
        self._state = state

    def get(self) -> None:
        self.set_status(self._state.behaviour.probe_status)


def make_application(state: State) -> web.Application:
    """Builds the HTTP application of one target."""
    arguments = {"state": state}
    return web.Application(
        [
            ("/-/health", _ProbeHandler, arguments),
            ("/-/control", _ControlHandler, arguments),
            ("/.*", _WorkHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def _run(addresses: list[str], names: list[str], seed: int) -> None:
    for number, (name, address) in enumerate(
        zip(names, addresses, strict=True)
    ):
        rng = random.Random(seed + number)
        state = State(name, 3, Behaviour(), [], rng)
        host, _, port = address.rpartition(":")
        make_application(state).listen(int(port), address=host)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def main(
    address: Annotated[list[str], typer.Option(help="IP number and port.")],
    name: Annotated[list[str], typer.Option(help="Name of the worker.")],
    seed: Annotated[int, typer.Option(help="Seed of randomness.")] = 1,
) -> None:
    """Serves one or more targets in one process."""
    asyncio.run(_run(address, name, seed))


if __name__ == "__main__":
    typer.run(main)
