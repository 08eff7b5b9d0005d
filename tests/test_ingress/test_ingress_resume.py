"""Exchanges go on when the link between ingress and owner is lost.

The link runs over real sockets, through a relay that resets it or drops its
bytes; what callers are told is compared with the requests that ran.
"""

from __future__ import annotations

import asyncio
import time

import testtools

from sardinedoor_node import directory
from sardinedoor_node import metrics
from sardinedoor_node import owner as owner_package
from sardinedoor_node import picking
from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import exchanges
from sardinedoor_node.ingress import holding
from sardinedoor_node.ingress import offers
from sardinedoor_node.link import zeromq
from sardinedoor_node.membership import targets
from sardinedoor_node.owner import exchange
from sardinedoor_node.owner import quarantine
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import settings
from sardinedoor_schema.generated import wire
from sardinedoor_standins import fleet

_C = codes.Code
_RUN_S = 0.4
_LONG_RUN_S = 4.0
_DEADLINE_S = 4.0


class _Relay:
    """TCP relay between the ingress and the owner."""

    def __init__(self, upstream: str):
        self._upstream = upstream
        self._writers: list[asyncio.StreamWriter] = []
        self.drops_requests = False
        self.refuses = False

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self._upstream.split(":")
        upstream = await asyncio.open_connection(host, int(port))
        self._writers += [writer, upstream[1]]
        await asyncio.gather(
            self._copy(reader, upstream[1], True),
            self._copy(upstream[0], writer, False),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if not (is_request and self.drops_requests):
                    writer.write(data)
        except OSError:
            pass
        writer.close()

    def reset(self) -> None:
        """Resets all connections; new ones pass bytes again."""
        self.drops_requests = False
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


class _SlowClient(owner_package.Client):
    """Worker that logs its runs and answers after some time."""

    max_idle = 3

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.run_s = _RUN_S

    async def run(self, request, idempotent, remaining_s):
        self.runs.append(request.body)
        try:
            await asyncio.sleep(self.run_s)
        except asyncio.CancelledError:
            self.cancelled.append(request.body)
            raise
        return target.TargetReply(_C.ANSWERED, status=200, body=request.body)

    async def is_listening(self) -> bool:
        return True

    def close(self) -> None:
        pass


class _Picker(picking.Picker):
    def pick(self, candidates, tried, idempotent=False):
        return None

    def request_started(self, target):
        return 0.0

    def request_finished(self, target, token, feedback):
        pass


class _Directory(directory.Directory):
    def __init__(self, link: str):
        self._link = link

    @property
    def own_name(self) -> str:
        return "ingress"

    def targets(self, service):
        return []

    def peer(self, name):
        return directory.Peer(name, self._link)

    def refused_as_leaving(self, peer):
        pass


class _Owner:
    """Owner role of one process."""

    def __init__(self, address: str, client: _SlowClient, incarnation: bytes):
        counters = metrics.Metrics()
        time_source = clock.SystemClock()
        self.transport = zeromq.ZeromqTransport("owner", counters)
        worker = workers.LocalWorker(
            "w", settings.WorkerSettings("pay", "127.0.0.1:1"), client
        )
        self.owner = exchange.Owner(
            incarnation,
            {"w": worker},
            None,
            quarantine.CrashQuarantine(
                lambda notice: None, counters, time_source
            ),
            counters,
            time_source,
        )
        register = self.transport.on_message
        register(wire.Offer, self.owner.on_offer)
        register(wire.Go, self.owner.on_go)
        register(wire.Cancel, self.owner.on_cancel)
        register(wire.Resume, self.owner.on_resume)
        self.transport.bind(address)


class _Pair:
    """An ingress and an owner with a relay between them."""

    async def __aenter__(self) -> _Pair:
        self.owner_address, relay_address = fleet.free_addresses(2)
        self.client = _SlowClient()
        self.owner = _Owner(self.owner_address, self.client, b"o" * 16)
        self.relay = _Relay(self.owner_address)
        host, port = relay_address.split(":")
        self.server = await asyncio.start_server(
            self.relay.accept, host, int(port)
        )
        counters = metrics.Metrics()
        self.clock = clock.SystemClock()
        self.transport = zeromq.ZeromqTransport("ingress", counters)
        table = exchanges.ExchangeTable(b"i" * 16, counters, self.clock)
        for message in (wire.Held, wire.Reply, wire.Refusal):
            self.transport.on_message(message, table.on_message)
        self.transport.on_link_change(table.on_link_change)
        self.sender = offers.OfferSender(
            _Directory(relay_address),
            self.transport,
            _Picker(),
            table,
            holding.AlwaysHold(),
            self.clock,
            1.0,
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.transport.close(0)
        await self.owner.transport.close(0)
        self.server.close()

    def send(
        self, body: bytes, idempotent: bool, waits: bool = False
    ) -> asyncio.Task:
        job = attempt.Job(
            wire.Request("POST", "/", [], body),
            "pay",
            idempotent,
            self.clock.monotonic() + _DEADLINE_S,
        )
        choice = picking.Choice(targets.Target("w", "pay", "owner", False))
        claim = (lambda: True) if waits else None
        return asyncio.create_task(
            self.sender.send(job, choice, 0.1 if waits else None, claim)
        )

    async def wait_for_run(self, body: bytes) -> None:
        async with asyncio.timeout(2):
            while body not in self.client.runs:
                await asyncio.sleep(0.005)


def _play(scenario) -> None:
    async def run() -> None:
        async with _Pair() as pair:
            # The link opens with the first request.
            first = await pair.send(b"first", False)
            assert first.code is _C.ANSWERED, first.code
            await scenario(pair)

    asyncio.run(run())


class ResumeTest(testtools.TestCase):
    def test_answer_arrives_though_the_link_was_reset_during_the_run(self):
        for idempotent in (False, True):

            async def scenario(pair: _Pair, idempotent=idempotent) -> None:
                sent = pair.send(b"fee", idempotent)
                await pair.wait_for_run(b"fee")
                pair.relay.reset()
                result = await sent
                self.assertEqual(_C.ANSWERED, result.code)
                self.assertEqual(b"fee", result.reply.body)
                self.assertEqual(1, pair.client.runs.count(b"fee"))

            _play(scenario)

    def test_answer_that_was_lost_with_the_link_is_sent_again(self):
        async def scenario(pair: _Pair) -> None:
            sent = pair.send(b"fee", False)
            await pair.wait_for_run(b"fee")
            pair.relay.refuses = True
            pair.relay.reset()
            # The run ends while there is no link.
            await asyncio.sleep(_RUN_S + 0.2)
            pair.relay.refuses = False
            result = await sent
            self.assertEqual(_C.ANSWERED, result.code)
            self.assertEqual(1, pair.client.runs.count(b"fee"))

        _play(scenario)

    def test_request_whose_go_was_lost_is_not_run(self):
        async def scenario(pair: _Pair) -> None:
            send_go = attempt.Attempt._send_go

            def lose_go(self, held):
                pair.relay.drops_requests = True
                asyncio.get_running_loop().call_later(0.1, pair.relay.reset)
                return send_go(self, held)

            attempt.Attempt._send_go = lose_go
            try:
                started_at = time.monotonic()
                result = await pair.send(b"fee", False)
            finally:
                attempt.Attempt._send_go = send_go
            self.assertIs(codes.Outcome.NOT_RUN, codes.outcome(result.code))
            self.assertLess(time.monotonic() - started_at, 1.5)
            await asyncio.sleep(_RUN_S)
            self.assertEqual(0, pair.client.runs.count(b"fee"))

        _play(scenario)

    def test_outcome_is_unknown_at_once_if_the_owner_was_restarted(self):
        async def scenario(pair: _Pair) -> None:
            sent = pair.send(b"fee", False)
            await pair.wait_for_run(b"fee")
            await pair.owner.transport.close(0)
            pair.relay.reset()
            pair.owner = _Owner(pair.owner_address, pair.client, b"p" * 16)
            started_at = time.monotonic()
            result = await sent
            self.assertEqual(_C.LINK_LOST, result.code)
            self.assertLess(time.monotonic() - started_at, 2.0)
            self.assertEqual(1, pair.client.runs.count(b"fee"))

        _play(scenario)

    def test_idempotent_request_is_given_up_soon_if_the_link_stays_down(self):
        async def scenario(pair: _Pair) -> None:
            sent = pair.send(b"look", True)
            await pair.wait_for_run(b"look")
            pair.relay.refuses = True
            pair.relay.reset()
            started_at = time.monotonic()
            result = await sent
            self.assertEqual(_C.LINK_LOST, result.code)
            self.assertLess(time.monotonic() - started_at, 1.0)

        _play(scenario)

    def test_only_idempotent_run_ends_when_its_caller_leaves(self):
        for idempotent in (False, True):
            for waits in (False, True):

                async def scenario(
                    pair: _Pair, idempotent=idempotent, waits=waits
                ) -> None:
                    pair.client.run_s = _LONG_RUN_S
                    sent = pair.send(b"look", idempotent, waits)
                    await pair.wait_for_run(b"look")
                    sent.cancel()
                    if idempotent:
                        async with asyncio.timeout(_LONG_RUN_S / 2):
                            while not pair.client.cancelled:
                                await asyncio.sleep(0.01)
                    else:
                        await asyncio.sleep(_RUN_S)
                        self.assertEqual([], pair.client.cancelled)

                _play(scenario)

    def test_request_is_offered_elsewhere_if_the_link_is_lost_before_the_go(
        self,
    ):
        async def scenario(pair: _Pair) -> None:
            pair.relay.drops_requests = True
            sent = pair.send(b"fee", False)
            await asyncio.sleep(0.1)
            started_at = time.monotonic()
            pair.relay.reset()
            result = await sent
            self.assertEqual(_C.LINK_DOWN, result.code)
            self.assertLess(time.monotonic() - started_at, 0.5)
            self.assertEqual(0, pair.client.runs.count(b"fee"))

        _play(scenario)
