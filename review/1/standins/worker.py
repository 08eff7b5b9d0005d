"""A worker: runs requests in its slots and says so of each one."""

from __future__ import annotations

import asyncio
import time

from standins import http
from standins import record

_SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
_IDLE_TIMEOUT_S = 10


class Worker:
    """A worker of one service.

    Attributes:
        name: Its id in the store.
        service: Its service.
        address: IP address and port, once it listens.
        run_s: How long a request runs, in s.
        leaving: Whether it is leaving, which its answers then say.
        started_ms: Unix time of its start, in ms.
    """

    def __init__(
        self, name: str, service: str, zone: str, events: record.Record
    ):
        """Creates the worker; `listen` starts it.

        Args:
            name: Its id in the store.
            service: Its service.
            zone: Its zone.
            events: Records what it runs.
        """
        self.name = name
        self.service = service
        self.address = ""
        self.run_s = 0.3
        self.leaving = False
        self.started_ms = int(time.time() * 1000)
        self._zone = zone
        self._events = events
        self._slots = 3
        self._running = 0
        self._server: asyncio.Server | None = None

    def entry(self, state: str = "ready", cold_left_ms: int = 0) -> dict:
        """Returns the entry that it publishes in the store.

        Args:
            state: `ready` or `draining`.
            cold_left_ms: How much longer it is slow after its start, in ms.
        """
        return {
            "Address": self.address,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self._zone,
                "Slots": self._slots,
            },
            "Status": {
                "State": state,
                "Seq": 1,
                "ColdLeft": f"{cold_left_ms}ms",
            },
            "born": self.started_ms,
        }

    async def listen(self, host: str) -> None:
        """Starts to serve on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read(reader)) is not None:
                await self._answer(request, writer)
                if self.leaving:
                    return
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> None:
        method, path, _ = request.start
        if path == "/healthz":
            status = "503 Service Unavailable" if self.leaving else "200 OK"
            headers = {"X-Instance-Id": self.name}
            await self._write(writer, status, headers, b"")
            return
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt}
        expected = request.headers.get("x-target-instance", self.name)
        if expected != self.name:
            headers["X-Instance-Id"] = self.name
            await self._write(writer, "421 Misdirected Request", headers, b"")
            return
        if self._running >= self._slots:
            headers["X-Not-Executed"] = "1"
            await self._write(writer, "503 Service Unavailable", headers, b"")
            return
        self._running += 1
        try:
            self._events.add(
                "run",
                worker=self.name,
                service=self.service,
                attempt=attempt,
                method=method,
                path=path,
                caller=request.headers.get("x-caller-service", ""),
            )
            await asyncio.sleep(self.run_s)
            self._events.add("ran", worker=self.name, attempt=attempt)
        finally:
            self._running -= 1
        headers["X-Server-Seal"] = _SEAL
        body = f"{self.name} ran {attempt}".encode()
        await self._write(writer, "200 OK", headers, body)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        headers["Keep-Alive"] = f"timeout={_IDLE_TIMEOUT_S}"
        if self.leaving:
            headers["Connection"] = "close"
            headers["Server-Leaving"] = "1"
        writer.write(http.serialise(f"HTTP/1.1 {status}", headers, body))
        await writer.drain()
