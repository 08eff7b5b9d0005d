"""The simulated store: restores, outages, refusals and stale reads."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node import published
from sardinedoor_standins import storesim


class StoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = storesim.Store()
        self.reader = storesim.StoreReader(self.store, "n", "d")
        for value in (b"1", b"2", b"3"):
            self.store.put("a", value)

    def _read(self) -> published.Update:
        return asyncio.run(self.reader.read(0)).unwrap()

    def _watch_error(self, epoch: int, revision: int) -> published.ReadError:
        version = published.Version(epoch, revision)
        return asyncio.run(self.reader.watch(version, 0.0)).unwrap_err()

    def test_restore_goes_back_and_gives_revisions_out_again(self):
        lost = self.store.restore(2)
        self.assertEqual([b"3"], [item.value for item in lost])
        update = self._read()
        self.assertEqual(published.Version(1, 2), update.version)
        self.assertEqual([b"2"], [item.value for item in update.items])
        self.store.put("b", b"4")
        changes = asyncio.run(self.reader.watch(update.version, 0.0)).unwrap()
        self.assertEqual(published.Version(1, 3), changes.version)
        self.assertEqual(["b"], [item.key for item in changes.items])

    def test_history_that_the_store_does_not_have_is_not_watched(self):
        self.store.restore(2)
        restored = published.ReadError.RESTORED
        gone = published.ReadError.HISTORY_GONE
        self.assertEqual(restored, self._watch_error(0, 2))
        self.assertEqual(gone, self._watch_error(1, 1))
        self.assertEqual(gone, self._watch_error(1, 3))

    def test_calls_in_progress_are_cut(self):
        async def run() -> list:
            watch = self.reader.watch(self.store.version, 5.0)
            tasks = [asyncio.create_task(watch)]
            await asyncio.sleep(0.02)
            tasks.append(asyncio.create_task(self.reader.read(0)))
            await asyncio.sleep(0)
            self.store.restore(1)
            return [(await task).unwrap_err() for task in tasks]

        error = published.ReadError.UNREACHABLE
        self.assertEqual([error, error], asyncio.run(run()))

    def test_outage_and_refusals(self):
        self.store.away = True
        error = self._watch_error(0, 3)
        self.assertEqual(published.ReadError.UNREACHABLE, error)
        self.store.away = False
        self.reader.refused = True
        error = self._watch_error(0, 3)
        self.assertEqual(published.ReadError.REFUSED, error)
        self.assertEqual(0, self.store.watches["d", "n"])

    def test_stale_read_is_of_the_current_epoch(self):
        self.store.restore(2)
        self.store.put("a", b"4")
        for stale_writes, expected in ((0, b"4"), (1, b"2"), (9, b"2")):
            self.reader.stale_writes = stale_writes
            update = self._read()
            self.assertEqual(1, update.epoch)
            self.assertEqual([expected], [i.value for i in update.items])
        self.assertEqual(3, self.store.snapshots["d", "n"])
