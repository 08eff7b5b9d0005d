"""Directory of targets: those that announce that they are leaving."""

from __future__ import annotations

import testtools

from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import catalog
from sardinedoor_node.published import fleet
from sardinedoor_schema.generated import wire
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime


class LeavingTargetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        time = virtualtime.ManualClock()
        self.catalog = catalog.Catalog(
            textitems.TextDecoder(), time, metrics.Metrics()
        )
        self.fleet = fleet.PublishedDirectory("10.0.0.9:7", self.catalog, time)
        self.revision = 0

    def _publish(self, name: str, started: int | None) -> None:
        """Publishes the entry of a worker, or deletes it without a start."""
        self.revision += 1
        number = name.removeprefix("w")
        item = wire.Item(
            textitems.WORKER + name,
            self.revision,
            f"10.0.0.{number}:80/pay/{started}/ready".encode(),
            deleted=started is None,
        )
        self.catalog.apply(published.Update(self.revision, [item]), "test")

    def _names(self) -> list[str]:
        return sorted(t.worker for t in self.fleet.targets("pay"))

    def test_target_is_not_offered_requests_until_it_has_started_again(self):
        self._publish("w1", 1)
        self._publish("w2", 1)
        (first,) = [t for t in self.fleet.targets("pay") if t.worker == "w1"]
        self.fleet.target_is_leaving(first)
        self.assertEqual(["w2"], self._names())
        self._publish("w3", 1)
        self.assertEqual(["w2", "w3"], self._names())
        self._publish("w1", None)
        self._publish("w1", 1)
        self.assertEqual(["w2", "w3"], self._names())
        self._publish("w1", 2)
        self.assertEqual(["w1", "w2", "w3"], self._names())

    def test_late_news_of_an_earlier_start_is_ignored(self):
        self._publish("w1", 1)
        (earlier,) = self.fleet.targets("pay")
        self._publish("w1", 2)
        self.fleet.target_is_leaving(earlier)
        self.assertEqual(["w1"], self._names())


class ForeignEntryTest(testtools.TestCase):
    """Entries of another writer: their service isn't configured."""

    def setUp(self):
        super().setUp()
        time = virtualtime.ManualClock()
        self.catalog = catalog.Catalog(
            textitems.TextDecoder(), time, metrics.Metrics()
        )
        self.fleet = fleet.PublishedDirectory("10.0.0.1:7", self.catalog, time)
        items = [
            wire.Item("w/w1", 1, b"10.0.0.1:80/pay/1/ready"),
            wire.Item("w/w2", 2, b"10.0.0.2:80/pay/1/ready"),
            wire.Item("w/w3", 3, b"10.0.0.3:80/pay/1/ready/b"),
            wire.Item("w/old1", 4, b"10.0.0.8:80/legacy/1/ready"),
            wire.Item("w/old2", 5, b"10.0.0.9:80/legacy/1/ready/b"),
            wire.Item("w/old3", 6, b"10.0.0.2:80/legacy/9/ready"),
        ]
        self.catalog.apply(published.Update(6, items), "test")

    def _configure(self) -> None:
        item = wire.Item("c", 7, b"1")
        self.catalog.apply(published.Update(7, [item]), "test")

    def test_no_peer_is_expected_at_their_addresses(self):
        """They were elected as readers, and digests were sent to them."""
        self._configure()
        self.assertEqual(
            (["10.0.0.2:7"], ["10.0.0.3:7"]), self.fleet.peers_by_domain("a")
        )

    def test_all_entries_count_before_there_is_a_configuration(self):
        near, far = self.fleet.peers_by_domain("a")
        self.assertEqual(["10.0.0.2:7", "10.0.0.8:7"], near)
        self.assertEqual(["10.0.0.3:7", "10.0.0.9:7"], far)

    def test_worker_at_the_same_address_stays_in_use(self):
        """A later start at its address took the worker out of use."""
        self._configure()
        names = sorted(t.worker for t in self.fleet.targets("pay"))
        self.assertEqual(["w1", "w2", "w3"], names)
        self.assertIsNotNone(self.catalog.current_worker("w2"))
