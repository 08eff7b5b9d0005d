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
