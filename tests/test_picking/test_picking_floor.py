"""The floor holds in every view, whatever stands."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
import testtools

from sardinedoor_node.membership import table
from sardinedoor_node.picking import counting
from sardinedoor_node.picking import floor
from sardinedoor_node.picking import twochoices
from sardinedoor_node.picking import views
from sardinedoor_standins import virtualtime

_NAMES = [f"w{n}" for n in range(9)]


class SplitTest(testtools.TestCase):
    def test_table(self):
        rows = (
            ("abcd", {}, 2, "", ""),
            ("abcd", {"a": 1.0}, 2, "a", ""),
            ("abcd", {"a": 1.0, "b": 3.0, "c": 2.0}, 2, "bc", "a"),
            ("abcd", {"a": 1.0, "b": 3.0, "c": 2.0}, 4, "", "abc"),
            ("ab", {"a": 1.0, "b": 1.0}, 5, "", "ab"),
            # A target that drains is not live, and leaves less to eject.
            ("abc", {"a": 1.0, "b": 3.0, "d": 9.0}, 2, "b", "a"),
        )
        for live, troubled, least, out, held in rows:
            found = floor.split(list(live), troubled, least)
            self.assertEqual((set(out), set(held)), (found.out, found.held))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        st.sets(st.sampled_from(_NAMES)),
        st.dictionaries(st.sampled_from(_NAMES), st.floats(0.1, 9)),
        st.integers(0, 12),
    )
    def test_never_below_the_floor(self, live, troubled, least):
        found = floor.split(live, troubled, least)
        left = len(live - found.out)
        self.assertGreaterEqual(left, min(least, len(live)))
        self.assertEqual(live & set(troubled), found.out | found.held)


class ViewsTest(testtools.TestCase):
    """Differing views, drains, and edits that raise the floor."""

    def test_seeded_histories(self):
        for seed in range(40):
            self._play(random.Random(seed), seed)

    def _play(self, rng: random.Random, seed: int) -> None:
        least = rng.randrange(1, 7)
        clock = virtualtime.VirtualClock(virtualtime.Timeline(), 0.0)
        live = [
            table.Target(n, "s", f"n-{n}", False, rng.choice("xyz"))
            for n in _NAMES
        ]
        pickers = [
            twochoices.TwoChoicesPicker(
                random.Random(seed),
                clock,
                counting.Place(f"i{number}", "x"),
                lambda service: least,
            )
            for number in range(3)
        ]
        for _ in range(60):
            action = rng.choice(("report", "gossip", "drain", "edit", "join"))
            target = rng.choice(live) if live else None
            if action == "edit":
                least = min(9, least + rng.randrange(3))
            elif action == "join" and len(live) < len(_NAMES):
                missing = set(_NAMES) - {t.worker for t in live}
                name = min(missing)
                live = [*live, table.Target(name, "s", f"n-{name}", False)]
            elif action == "drain" and target:
                live = [t for t in live if t is not target]
            elif action == "gossip" and target:
                target.ejected = rng.random() < 0.8
            elif target:
                picker = rng.choice(pickers)
                token = picker.started(target)
                report = views.Report(rng.random() < 0.8)
                picker.finished(target, token, views.Feedback(0.0, report))
            self._check(pickers, live, least)

    def _check(self, pickers, live, least) -> None:
        names = {t.worker for t in live}
        for picker in pickers:
            rotation = names - picker.rotation(live).out
            self.assertGreaterEqual(len(rotation), min(least, len(live)))
            choice = picker.pick(live, set(), False)
            self.assertEqual(not live, choice is None)
            if choice is not None:
                self.assertIn(choice.target.worker, rotation)
