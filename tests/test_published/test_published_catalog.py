"""The copy of what is published never goes back."""

from __future__ import annotations

import random

import testtools

from sardinedoor_node import published
from sardinedoor_node.published import catalog
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
    born: int = 1,
    state: str = "ready",
) -> wire.Item:
    value = f"{address}/pay/{born}/{state}".encode()
    return wire.Item(textitems.WORKER + name, revision, value)


def _gone(revision: int, name: str) -> wire.Item:
    return wire.Item(textitems.WORKER + name, revision, deleted=True)


class CatalogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = virtualtime.ManualClock()
        self.catalog = catalog.Catalog(textitems.TextDecoder(), self.clock)

    def _take(self, *items: wire.Item, whole: bool = False) -> None:
        revision = max((i.revision for i in items), default=0)
        self.catalog.take(
            published.Changes(revision, list(items), whole), "test"
        )

    def _names(self) -> list[str]:
        return sorted(w.name for w in self.catalog.workers("pay"))

    def test_older_changes_are_not_taken(self):
        self._take(_config(9, "4"))
        self._take(_config(5, "7"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_a_lower_version_is_refused(self):
        self._take(_config(9, "4"))
        self._take(_config(10, "3"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_a_broken_configuration_leaves_the_last_good_one(self):
        self._take(_config(9, "4"))
        self._take(_config(10, "x"))
        self.assertEqual(4, self.catalog.configuration.version)

    def test_a_broken_entry_takes_the_worker_out(self):
        self._take(_worker(2, "one"))
        self._take(wire.Item("w/one", 3, b"?"))
        self.assertEqual([], self._names())

    def test_whole_copies_imply_deletions(self):
        self._take(_worker(2, "one"), _worker(3, "two", "10.0.0.2:80"))
        self._take(_worker(5, "two", "10.0.0.2:80"), whole=True)
        self.assertEqual(["two"], self._names())

    def test_only_the_newest_entry_of_an_address_counts(self):
        self._take(_worker(2, "old", born=1))
        self._take(_worker(3, "new", born=5))
        self.assertEqual(["new"], self._names())
        self.assertIsNone(self.catalog.current("old"))
        # A late heartbeat of the old one changes nothing.
        self._take(_worker(4, "old", born=1))
        self.assertEqual(["new"], self._names())

    def test_draining_workers_take_no_work(self):
        self._take(_worker(2, "one"))
        self._take(_worker(3, "one", state="draining"))
        self.assertEqual([], self._names())

    def test_entries_that_lapse_in_an_outage_may_return(self):
        self._take(_worker(2, "one"), _worker(3, "two", "10.0.0.2:80"))
        self._stay_in_contact()
        self.catalog.store_lost()
        self.clock.at += catalog.AWAY_S + 0.1
        self._take(_gone(4, "one"), _gone(5, "two"))
        self.catalog.confirmed(0.0)
        self.assertEqual(["one", "two"], self._names())
        self._take(_worker(6, "one"))
        self.clock.at += catalog.LAPSE_RETURN_S + 0.01
        self.assertEqual(["one"], self._names())

    def test_entries_that_lapsed_may_be_seen_after_the_return(self):
        self._take(_worker(2, "one"))
        self._stay_in_contact()
        self.catalog.store_lost()
        self.clock.at += catalog.AWAY_S + 0.1
        self.catalog.confirmed(0.0)
        self._take(_gone(3, "one"))
        self.assertEqual(["one"], self._names())

    def test_deletions_count_at_once_while_the_store_is_up(self):
        """For peers, that is; it may turn this node away."""
        self._take(_worker(2, "one"))
        self.catalog.store_lost()
        self._stay_in_contact()
        self._take(_gone(3, "one"))
        self.assertEqual([], self._names())

    def test_deletions_count_at_once_where_gossip_was_late(self):
        """A node that doesn't read may hear nothing for a while."""
        self._take(_worker(2, "one"))
        self._stay_in_contact()
        self.clock.at += 10 * catalog.AWAY_S
        self._take(_gone(3, "one"))
        self.catalog.confirmed(0.0)
        self.assertEqual([], self._names())

    def _stay_in_contact(self) -> None:
        """Lets time pass in which peers confirm contact with the store."""
        for _ in range(10):
            self.clock.at += 0.5
            self.catalog.confirmed(0.3)

    def test_copies_converge_whatever_the_order(self):
        for seed in range(200):
            rng = random.Random(seed)
            first, second = (
                catalog.Catalog(textitems.TextDecoder(), self.clock)
                for _ in range(2)
            )
            for revision in range(1, 30):
                name = rng.choice("abc")
                item = _worker(revision, name, f"10.0.0.{ord(name)}:80")
                if rng.random() < 0.3:
                    item = _gone(revision, name)
                changes = published.Changes(revision, [item])
                first.take(changes, "store")
                if rng.random() < 0.3:
                    lacking = first.changes_after(second.revision)
                    second.take(lacking, "peer")
            second.take(first.changes_after(second.revision), "peer")
            self.assertEqual(
                sorted(w.name for w in first.workers("pay")),
                sorted(w.name for w in second.workers("pay")),
                seed,
            )
