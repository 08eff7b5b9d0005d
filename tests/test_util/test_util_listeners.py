"""Groups of listeners, and the components that notify them."""

from __future__ import annotations

import testtools

from sardinedoor_node import metrics
from sardinedoor_node import published
from sardinedoor_node.published import catalog
from sardinedoor_node.util import listeners
from sardinedoor_schema.generated import wire
from sardinedoor_standins import textitems
from sardinedoor_standins import virtualtime


def _fail(*args: object) -> None:
    raise ValueError(args)


class ListenerGroupTest(testtools.TestCase):
    def test_listener_that_raises_does_not_silence_the_next(self):
        counters = metrics.Metrics()
        group = listeners.ListenerGroup("event", counters)
        called = []
        for listener in (_fail, called.append, _fail, called.append):
            group.add(listener)
        group.notify(7)
        self.assertEqual([7, 7], called)
        failed = counters.registry.get("sardinedoor_events_total")
        self.assertEqual(2, failed.get({"kind": "listener_failed"}))

    def test_catalog_calls_all_listeners_and_takes_the_next_update(self):
        """The digests' listener raised, and no routes were built."""
        replica = catalog.Catalog(
            textitems.TextDecoder(),
            virtualtime.ManualClock(),
            metrics.Metrics(),
        )
        revisions = []
        replica.on_change(_fail)
        replica.on_change(lambda: revisions.append(replica.revision))
        for revision in (1, 2):
            item = wire.Item(
                f"w/{revision}", revision, b"10.0.0.1:80/pay/1/ready/a"
            )
            replica.apply(published.Update(revision, [item]), "store")
        self.assertEqual([1, 2], revisions)
