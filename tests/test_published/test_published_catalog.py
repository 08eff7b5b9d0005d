"""Replica of the published items: order of revisions, expiry of entries."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import catalog
from sardinedoor_node.published import contact
from sardinedoor_schema.generated import wire
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime

_ADDRESS = "10.0.0.1:80"


def _config(revision: int, version: str) -> wire.Item:
    return wire.Item("c", revision, version.encode())


def _worker(
    revision: int,
    name: str,
    address: str = _ADDRESS,
    started: int = 1,
    state: str = "ready",
) -> wire.Item:
    value = f"{address}/pay/{started}/{state}".encode()
    return wire.Item(textitems.WORKER + name, revision, value)


def _tombstone(revision: int, name: str) -> wire.Item:
    return wire.Item(textitems.WORKER + name, revision, deleted=True)


class CatalogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = virtualtime.ManualClock()
        self.catalog = catalog.Catalog(
            textitems.TextDecoder(), self.clock, metrics.Metrics()
        )

    def _apply(self, *items: wire.Item, snapshot: bool = False) -> None:
        revision = max((i.revision for i in items), default=0)
        self.catalog.apply(
            published.Update(revision, list(items), snapshot), "test"
        )

    def _names(self) -> list[str]:
        return sorted(w.name for w in self.catalog.workers("pay"))

    def test_older_update_is_ignored(self):
        self._apply(_config(9, "4"))
        self._apply(_config(5, "7"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_lower_version_of_configuration_is_refused(self):
        self._apply(_config(9, "4"))
        self._apply(_config(10, "3"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_invalid_configuration_keeps_the_last_valid_one(self):
        self._apply(_config(9, "4"))
        self._apply(_config(10, "x"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_invalid_entry_removes_the_worker(self):
        self._apply(_worker(2, "one"))
        self._apply(wire.Item("w/one", 3, b"?"))
        self.assertEqual([], self._names())

    def test_snapshot_implies_deletions(self):
        self._apply(_worker(2, "one"), _worker(3, "two", "10.0.0.2:80"))
        self._apply(_worker(5, "two", "10.0.0.2:80"), snapshot=True)
        self.assertEqual(["two"], self._names())

    def test_newest_entry_of_an_address_replaces_older_ones(self):
        self._apply(_worker(2, "old", started=1))
        self._apply(_worker(3, "new", started=5))
        self.assertEqual(["new"], self._names())
        self.assertIsNone(self.catalog.current_worker("old"))
        # A late renewal of the replaced entry changes nothing.
        self._apply(_worker(4, "old", started=1))
        self.assertEqual(["new"], self._names())

    def test_draining_worker_gets_no_new_requests(self):
        self._apply(_worker(2, "one"))
        self._apply(_worker(3, "one", state="draining"))
        self.assertEqual([], self._names())

    def test_entries_that_expired_in_an_outage_are_retained(self):
        self._apply(_worker(2, "one"), _worker(3, "two", "10.0.0.2:80"))
        self._confirm_for_a_while()
        self.catalog.store_lost()
        self.clock.now_s += contact.OUTAGE_S + 0.1
        self._apply(_tombstone(4, "one"), _tombstone(5, "two"))
        self.catalog.confirm_current(0.0)
        self.assertEqual(["one", "two"], self._names())
        self._apply(_worker(6, "one"))
        self.clock.now_s += contact.LAPSE_GRACE_S + 0.01
        self.assertEqual(["one"], self._names())

    def test_expiry_seen_only_after_the_outage_is_retained(self):
        self._apply(_worker(2, "one"))
        self._confirm_for_a_while()
        self.catalog.store_lost()
        self.clock.now_s += contact.OUTAGE_S + 0.1
        self.catalog.confirm_current(0.0)
        self._apply(_tombstone(3, "one"))
        self.assertEqual(["one"], self._names())

    def test_deletion_is_final_while_peers_reach_the_store(self):
        """A store that only this node can't reach isn't down."""
        self._apply(_worker(2, "one"))
        self.catalog.store_lost()
        self._confirm_for_a_while()
        self._apply(_tombstone(3, "one"))
        self.assertEqual([], self._names())

    def test_deletion_is_final_after_late_gossip(self):
        """For a node that doesn't read the store, late gossip is no outage."""
        self._apply(_worker(2, "one"))
        self._confirm_for_a_while()
        self.clock.now_s += 10 * contact.OUTAGE_S
        self._apply(_tombstone(3, "one"))
        self.catalog.confirm_current(0.0)
        self.assertEqual([], self._names())

    def _confirm_for_a_while(self) -> None:
        """Advances the clock while peers confirm contact with the store."""
        for _ in range(10):
            self.clock.now_s += 0.5
            self.catalog.confirm_current(0.3)

    def test_replicas_converge_through_partial_updates(self):
        for seed in range(200):
            rng = random.Random(seed)
            first, second = (
                catalog.Catalog(
                    textitems.TextDecoder(), self.clock, metrics.Metrics()
                )
                for _ in range(2)
            )
            for revision in range(1, 30):
                name = rng.choice("abc")
                item = _worker(revision, name, f"10.0.0.{ord(name)}:80")
                if rng.random() < 0.3:
                    item = _tombstone(revision, name)
                update = published.Update(revision, [item])
                first.apply(update, "store")
                if rng.random() < 0.3:
                    missing = first.changes_since(second.version)
                    second.apply(missing, "peer")
            second.apply(first.changes_since(second.version), "peer")
            self.assertEqual(
                sorted(w.name for w in first.workers("pay")),
                sorted(w.name for w in second.workers("pay")),
                seed,
            )
