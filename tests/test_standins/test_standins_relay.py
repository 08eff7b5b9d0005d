"""Faults of the relay, seen from both ends of a connection."""

from __future__ import annotations

import asyncio
import time

import testtools

from sardinedoor_standins import relay
from sardinedoor_standins import sockets

DELAY_MS = 30.0
SILENCE_S = 0.2
_NEAR = "127.0.1.1"


class _Echo:
    """A server that answers each line with itself."""

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
        return self

    async def __aexit__(self, *exc) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    async def open(self):
        """Connects through the relay."""
        host, _, port = self.relayed.rpartition(":")
        return await asyncio.open_connection(
            host, int(port), local_addr=(_NEAR, 0)
        )


async def _ask(connection, timeout_s: float = 2.0) -> bytes | None:
    reader, writer = connection
    writer.write(b"hello\n")
    try:
        return await asyncio.wait_for(reader.readline(), timeout_s)
    except TimeoutError:
        return None


class FreeAddressesTest(testtools.TestCase):
    def test_no_address_is_given_twice(self):
        found = [sockets.free_addresses(1)[0] for _ in range(500)]
        self.assertEqual(len(found), len(set(found)))


class RelayTest(testtools.TestCase):
    def _run(self, story) -> None:
        async def run() -> None:
            async with _Echo() as echo:
                await story(echo)

        asyncio.run(run())

    def test_bytes_between_domains_take_the_delay_each_way(self):
        async def story(echo) -> None:
            echo.relay.set_faults(relay.Faults(domain_delay_ms=DELAY_MS))
            connection = await echo.open()
            await _ask(connection)
            begin = time.monotonic()
            self.assertEqual(b"hello\n", await _ask(connection))
            self.assertGreaterEqual(
                time.monotonic() - begin, 2 * DELAY_MS / 1000
            )
            connection[1].close()

        self._run(story)

    def test_cut_holds_bytes_until_it_heals(self):
        cuts = {
            "there": relay.Cut("near", "far"),
            "back": relay.Cut("far", "near"),
            "domain": relay.Cut("fd-a", "fd-b"),
            "all": relay.Cut("*", "*"),
        }

        async def story(echo) -> None:
            for name, cut in cuts.items():
                connection = await echo.open()
                self.assertEqual(b"hello\n", await _ask(connection))
                echo.relay.set_faults(relay.Faults(cuts=[cut]))
                self.assertIsNone(await _ask(connection, SILENCE_S), name)
                fresh = await echo.open()
                self.assertIsNone(await _ask(fresh, SILENCE_S), name)
                echo.relay.set_faults(relay.Faults())
                for healed in (connection, fresh):
                    line = await asyncio.wait_for(healed[0].readline(), 2.0)
                    self.assertEqual(b"hello\n", line, name)
                    healed[1].close()

        self._run(story)

    def test_silence_spares_new_connections(self):
        async def story(echo) -> None:
            old = await echo.open()
            self.assertEqual(b"hello\n", await _ask(old))
            echo.relay.silence()
            self.assertIsNone(await _ask(old, SILENCE_S))
            fresh = await echo.open()
            self.assertEqual(b"hello\n", await _ask(fresh))
            for connection in (old, fresh):
                connection[1].close()

        self._run(story)

    def test_refused_upstream_ends_the_connection(self):
        async def story(echo) -> None:
            echo._server.close()
            await echo._server.wait_closed()
            reader, writer = await echo.open()
            try:
                data = await asyncio.wait_for(reader.read(), 2.0)
            except ConnectionResetError:
                data = b""
            self.assertEqual(b"", data)
            writer.close()

        self._run(story)
