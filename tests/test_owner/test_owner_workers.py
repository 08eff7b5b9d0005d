"""Limits of a worker and detection of draining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import testtools

from sardinedoor_node.membership import configured
from sardinedoor_node.owner import announcements
from sardinedoor_node.owner import dialect
from sardinedoor_node.owner import target
from sardinedoor_node.owner import workers
from sardinedoor_node.util import clock
from sardinedoor_schema import codes
from sardinedoor_schema.generated import settings
from sardinedoor_schema.generated import wire


def _make_reply(*names: str, code: codes.Code = codes.Code.ANSWERED):
    reply = target.TargetReply(code, status=200)
    for name in names:
        reply.headers.add(name, "yes")
    reply.announcement = dialect.PlainDialect().announcement(reply.headers)
    return reply


class _FakeSettingsStore:
    """Provides the services in force, as the settings store does."""

    def __init__(self, services: dict[str, settings.ServiceSettings]):
        self.services = services
        self.notify: Callable[[], None] = lambda: None

    def on_change(self, listener: Callable[[], None]) -> None:
        self.notify = listener


class LocalWorkerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.worker = workers.LocalWorker(
            "w", settings.WorkerSettings("permits", "127.0.0.1:1")
        )

    def test_a_response_header_marks_a_draining_worker(self):
        connection_lost = _make_reply(code=codes.Code.TARGET_CONNECTION_LOST)
        lease_s = announcements.LEAVING_LEASE_S
        # Time in s, reply, whether the worker is leaving afterwards.
        rows = [
            (1.0, _make_reply(), False),
            (2.0, _make_reply("sardinedoor-leaving"), True),
            (3.0, connection_lost, True),
            (1.9 + lease_s, connection_lost, True),
            (2.1 + lease_s, connection_lost, False),
            (40.0, _make_reply("Sardinedoor-Leaving"), True),
            (41.0, _make_reply(), False),
        ]
        for now, reply, leaving in rows:
            self.worker.observe_reply(reply, now - 0.5, now)
            self.assertEqual(
                leaving, self.worker.announced.is_leaving(now), now
            )

    def test_limits_of_the_service_apply_to_the_worker(self):
        # Slots and connections of the service; slots and idle connections of
        # the worker.
        rows = [
            (3, 350, 3, 3),
            (10, 12, 10, 2),
            (10, 10, 10, 0),
            (10, 4, 4, 0),
        ]
        for slots, connections, expected, idle in rows:
            service = settings.ServiceSettings(
                workers=["w"], slots=slots, connections=connections
            )
            services = {"permits": service}
            workers.apply_limits(
                {"w": self.worker}, services, clock.SystemClock()
            )
            self.assertEqual(expected, asyncio.run(self._count_free_slots()))
            self.assertEqual(idle, self.worker.client.max_idle)
        store = _FakeSettingsStore(services)
        configured.ConfiguredWorkers(store).track_drained([self.worker])
        for listed_workers, drained in ((["another"], True), (["w"], False)):
            service.workers = listed_workers
            store.notify()
            self.assertEqual(drained, self.worker.drained)

    async def _count_free_slots(self) -> int:
        time = clock.SystemClock()
        offer = wire.Offer(b"", "permits", "w", 1000)
        granted = []
        while True:
            waiter = await self.worker.acquire_slot(
                offer, time.monotonic() + 0.01, time
            )
            if waiter.code is not None:
                break
            granted.append(waiter)
        for waiter in granted:
            self.worker.release_slot(waiter, time)
        return len(granted)
