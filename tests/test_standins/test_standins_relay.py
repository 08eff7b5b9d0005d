"""Fault injection of the relay, observed by a client and a server."""

from __future__ import annotations

import asyncio
import time

import testtools

from sardinedoor_standins import relay
from sardinedoor_standins import sockets

DELAY_MS = 30.0
NO_ANSWER_TIMEOUT_S = 0.2
_NEAR = "127.0.1.1"


class _Echo:
    """An echo server behind a relay."""

    async def __aenter__(self) -> _Echo:
        self.address, self.relayed = sockets.free_addresses(2)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        routes = [
            relay.Route("far", "fd-b", self.relayed, self.address),
            relay.Route("near", "fd-a", *sockets.free_addresses(2, _NEAR)),
        ]
        self.relay = relay.Relay(relay.Layout(routes))
        await self.relay.listen()
        self._writers = []
        self._handlers = []
        return self

    async def __aexit__(self, *exc) -> None:
        await self.relay.close()
        self._server.close()
        await asyncio.gather(*self._handlers)
        for writer in self._writers:
            writer.close()
        closed = [writer.wait_closed() for writer in self._writers]
        await asyncio.gather(*closed, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        self._handlers.append(asyncio.current_task())
        try:
            while line := await reader.readline():
                writer.write(line)
        except ConnectionResetError:
            pass
        writer.close()

    async def open(self):
        """Connects through the relay."""
        host, _, port = self.relayed.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(_NEAR, 0)
        )
        self._writers.append(writer)
        return reader, writer


async def _send_line(connection, timeout_s: float = 2.0) -> bytes | None:
    reader, writer = connection
    writer.write(b"hello\n")
    try:
        return await asyncio.wait_for(reader.readline(), timeout_s)
    except TimeoutError:
        return None


class FreeAddressesTest(testtools.TestCase):
    def test_no_address_is_allocated_twice(self):
        found = [sockets.free_addresses(1)[0] for _ in range(500)]
        self.assertEqual(len(found), len(set(found)))


class RelayTest(testtools.TestCase):
    def _run(self, case) -> None:
        async def run() -> None:
            async with _Echo() as echo:
                await case(echo)

        asyncio.run(run())

    def test_bytes_between_domains_are_delayed_in_each_direction(self):
        async def case(echo) -> None:
            echo.relay.set_faults(relay.Faults(domain_delay_ms=DELAY_MS))
            connection = await echo.open()
            await _send_line(connection)
            begin = time.monotonic()
            self.assertEqual(b"hello\n", await _send_line(connection))
            self.assertGreaterEqual(
                time.monotonic() - begin, 2 * DELAY_MS / 1000
            )
            connection[1].close()

        self._run(case)

    def test_cut_queues_bytes_until_it_heals(self):
        cuts = {
            "there": relay.Cut("near", "far"),
            "back": relay.Cut("far", "near"),
            "domain": relay.Cut("fd-a", "fd-b"),
            "all": relay.Cut("*", "*"),
        }

        async def case(echo) -> None:
            for name, cut in cuts.items():
                connection = await echo.open()
                self.assertEqual(b"hello\n", await _send_line(connection))
                echo.relay.set_faults(relay.Faults(cuts=[cut]))
                self.assertIsNone(
                    await _send_line(connection, NO_ANSWER_TIMEOUT_S), name
                )
                fresh = await echo.open()
                self.assertIsNone(
                    await _send_line(fresh, NO_ANSWER_TIMEOUT_S), name
                )
                echo.relay.set_faults(relay.Faults())
                for healed in (connection, fresh):
                    line = await asyncio.wait_for(healed[0].readline(), 2.0)
                    self.assertEqual(b"hello\n", line, name)
                    healed[1].close()

        self._run(case)

    def test_silence_does_not_affect_new_connections(self):
        async def case(echo) -> None:
            old = await echo.open()
            self.assertEqual(b"hello\n", await _send_line(old))
            echo.relay.silence()
            self.assertIsNone(await _send_line(old, NO_ANSWER_TIMEOUT_S))
            fresh = await echo.open()
            self.assertEqual(b"hello\n", await _send_line(fresh))
            for connection in (old, fresh):
                connection[1].close()

        self._run(case)

    def test_refused_upstream_closes_the_connection(self):
        async def case(echo) -> None:
            echo._server.close()
            await echo._server.wait_closed()
            reader, writer = await echo.open()
            try:
                data = await asyncio.wait_for(reader.read(), 2.0)
            except ConnectionResetError:
                data = b""
            self.assertEqual(b"", data)
            writer.close()

        self._run(case)
