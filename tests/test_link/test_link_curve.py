"""CURVE keys of node links: only accepted keys open a link."""

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

# Time to try one wrong key and to reconnect, with a margin for slow machines.
_CONNECT_TIMEOUT_S = 5.0
_REFUSED_S = 0.6
# Long enough for a client to try both of its keys.
_BOTH_KEYS_REFUSED_S = 2 * zeromq.KEY_TRIAL_TIMEOUT_S + 0.5
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
    """Keys of a client and a server, and whether the client can connect."""

    name: str
    client: curve.LinkKeys | None
    server: curve.LinkKeys | None
    connects: bool


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
        # During a key rotation, all nodes accept the old and the new key.
        Case("old to new", _keys(old, new), _keys(new, old), True),
        Case("new to old", _keys(new, old), _keys(old, new), True),
    ]


class CurveTest(testtools.TestCase):
    def test_only_accepted_keys_connect(self):
        for case in _cases():
            timeout_s = _CONNECT_TIMEOUT_S if case.connects else _REFUSED_S
            if case.name == "client knows server":
                timeout_s = _BOTH_KEYS_REFUSED_S
            connected = asyncio.run(self._connects(case, timeout_s))
            self.assertEqual(case.connects, connected, case.name)

    async def _connects(self, case: Case, timeout_s: float) -> bool:
        (address,) = fleet.free_addresses(1)
        counters = metrics.Metrics()
        server = zeromq.ZeromqTransport("server", counters, case.server)
        client = zeromq.ZeromqTransport("client", counters, case.client)
        received = asyncio.Event()
        server.on_message(wire.Cancel, lambda *arguments: received.set())
        server.bind(address)
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end and not received.is_set():
            client.connect("server", address).send(wire.Cancel(b"1"))
            await asyncio.sleep(_POLL_S)
        await client.close()
        await server.close()
        return received.is_set()

    def test_frames_sent_without_a_key_are_dropped(self):
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

    def test_malformed_keys_are_rejected(self):
        valid = keys.make_link_keys()
        for secret, accepted in (
            ("", [valid.public]),
            ("x" * 40, [" " * 40]),
            ("~" * 40, []),
            (valid.secret, ["~" * 40]),
        ):
            self.assertRaises(
                ValueError, curve.from_settings, _settings(secret, accepted)
            )
        self.assertIsNone(curve.from_settings(_settings("", [])))
