"""Keys of node links: known ones open, all others are refused."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import testtools
import zmq

from sardinedoor_cli import keys
from sardinedoor_node import metrics
from sardinedoor_node.link import curve
from sardinedoor_node.link import zeromq
from sardinedoor_schema.generated import settings
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

# A trial of a key, a reconnect, and the machine's margin.
_ROTATED_S = 5.0
_REFUSED_S = 0.6
# Long enough for a client to try both of its keys.
_BOTH_REFUSED_S = 2 * zeromq.KEY_TRIAL_S + 0.5
_POLL_S = 0.02


def _settings(secret: str, accepted: list[str]) -> settings.NodeSettings:
    address = "127.0.0.1:1"
    return settings.NodeSettings(
        name="n",
        region="r",
        failure_domain="f",
        public=address,
        internal=address,
        link=address,
        admin=address,
        platform=address,
        link_secret_key=secret,
        link_accepted_keys=accepted,
    )


def _keys(pair: keys.LinkKeyPair, *accepted: keys.LinkKeyPair):
    return curve.from_settings(
        _settings(pair.secret, [a.public for a in accepted])
    )


@dataclasses.dataclass(slots=True)
class Case:
    """A client's and a server's keys, and whether the link works."""

    name: str
    client: curve.LinkKeys | None
    server: curve.LinkKeys | None
    works: bool


def _cases() -> list[Case]:
    old, new, other = (keys.make_link_keys() for _ in range(3))
    return [
        Case("open", None, None, True),
        Case("same key", _keys(old), _keys(old), True),
        Case("no key", None, _keys(old), False),
        Case("unknown key", _keys(other), _keys(old), False),
        Case("client knows server", _keys(other, old), _keys(old), False),
        Case("server knows client", _keys(other), _keys(old, other), False),
        Case("to an open server", _keys(old), None, False),
        # While keys are replaced, both are accepted everywhere.
        Case("old to new", _keys(old, new), _keys(new, old), True),
        Case("new to old", _keys(new, old), _keys(old, new), True),
    ]


class CurveTest(testtools.TestCase):
    def test_only_known_keys_get_through(self):
        for case in _cases():
            limit_s = _ROTATED_S if case.works else _REFUSED_S
            if case.name == "client knows server":
                limit_s = _BOTH_REFUSED_S
            found = asyncio.run(self._try(case, limit_s))
            self.assertEqual(case.works, found, case.name)

    async def _try(self, case: Case, limit_s: float) -> bool:
        (address,) = fleet.free_addresses(1)
        counters = metrics.Metrics()
        server = zeromq.ZeromqTransport("server", counters, case.server)
        client = zeromq.ZeromqTransport("client", counters, case.client)
        heard = asyncio.Event()
        server.on_message(wire.Cancel, lambda *arguments: heard.set())
        server.bind(address)
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while loop.time() < end and not heard.is_set():
            client.connect("server", address).send(wire.Cancel(b"1"))
            await asyncio.sleep(_POLL_S)
        await client.close()
        await server.close()
        return heard.is_set()

    def test_forged_frames_without_a_key_reach_nobody(self):
        async def run() -> int:
            (address,) = fleet.free_addresses(1)
            server = zeromq.ZeromqTransport(
                "server", metrics.Metrics(), _keys(keys.make_link_keys())
            )
            received = []
            server.on_message(
                wire.Cancel, lambda *arguments: received.append(arguments)
            )
            server.bind(address)
            host, _, port = address.partition(":")
            context = zmq.Context()
            for kind in (zmq.DEALER, zmq.REQ, zmq.PUSH):
                socket = context.socket(kind)
                socket.setsockopt(zmq.LINGER, 0)
                socket.connect(f"tcp://{address}")
                with contextlib.suppress(zmq.ZMQError):
                    socket.send(b"\x01\x0d\x81", zmq.DONTWAIT)
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /internal HTTP/1.1\r\n\r\n" * 20)
            await asyncio.sleep(0.3)
            writer.close()
            context.destroy()
            await server.close()
            return len(received)

        self.assertEqual(0, asyncio.run(run()))

    def test_malformed_keys_are_named(self):
        good = keys.make_link_keys()
        for secret, accepted in (
            ("", [good.public]),
            ("x" * 40, [" " * 40]),
            ("~" * 40, []),
            (good.secret, ["~" * 40]),
        ):
            self.assertRaises(
                ValueError, curve.from_settings, _settings(secret, accepted)
            )
        self.assertIsNone(curve.from_settings(_settings("", [])))
