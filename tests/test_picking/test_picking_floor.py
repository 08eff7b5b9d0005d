"""The rotation keeps at least the floor, in every view of an ingress."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
import testtools

from sardinedoor_node.membership import table
from sardinedoor_node.picking import floor
from sardinedoor_node.picking import tracking
from sardinedoor_node.picking import twochoices
from sardinedoor_node.picking import views
from sardinedoor_standins import virtualtime

_NAMES = [f"w{n}" for n in range(9)]


class SplitTest(testtools.TestCase):
    def test_removes_the_worst_above_the_floor(self):
        rows = (
            ("abcd", {}, 2, "", ""),
            ("abcd", {"a": 1.0}, 2, "a", ""),
            ("abcd", {"a": 1.0, "b": 3.0, "c": 2.0}, 2, "bc", "a"),
            ("abcd", {"a": 1.0, "b": 3.0, "c": 2.0}, 4, "", "abc"),
            ("ab", {"a": 1.0, "b": 1.0}, 5, "", "ab"),
            # A draining target is not live, so that fewer may be ejected.
            ("abc", {"a": 1.0, "b": 3.0, "d": 9.0}, 2, "b", "a"),
        )
        for live, severities, min_targets, out, kept in rows:
            split = floor.split(list(live), severities, min_targets)
            self.assertEqual(
                (set(out), set(kept)), (split.out, split.kept_by_floor)
            )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        st.sets(st.sampled_from(_NAMES)),
        st.dictionaries(st.sampled_from(_NAMES), st.floats(0.1, 9)),
        st.integers(0, 12),
    )
    def test_rotation_never_below_the_floor(
        self, live, severities, min_targets
    ):
        split = floor.split(live, severities, min_targets)
        in_rotation = len(live - split.out)
        self.assertGreaterEqual(in_rotation, min(min_targets, len(live)))
        self.assertEqual(
            live & set(severities), split.out | split.kept_by_floor
        )


class ViewsTest(testtools.TestCase):
    """Differing views of ingresses, drains, and edits that raise the floor."""

    def test_floor_holds_in_random_histories(self):
        for seed in range(40):
            self._run_history(random.Random(seed), seed)

    def _run_history(self, rng: random.Random, seed: int) -> None:
        min_targets = rng.randrange(1, 7)
        clock = virtualtime.VirtualClock(virtualtime.Timeline(), 0.0)
        live = [
            table.Target(n, "s", f"n-{n}", False, rng.choice("xyz"))
            for n in _NAMES
        ]
        pickers = [
            twochoices.TwoChoicesPicker(
                random.Random(seed),
                clock,
                tracking.Location(f"i{number}", "x"),
                lambda service: min_targets,
            )
            for number in range(3)
        ]
        for _ in range(60):
            action = rng.choice(("report", "gossip", "drain", "edit", "join"))
            target = rng.choice(live) if live else None
            if action == "edit":
                min_targets = min(9, min_targets + rng.randrange(3))
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
                token = picker.request_started(target)
                report = views.Report(rng.random() < 0.8)
                picker.request_finished(
                    target, token, views.Feedback(0.0, report)
                )
            self._check(pickers, live, min_targets)

    def _check(self, pickers, live, min_targets) -> None:
        names = {t.worker for t in live}
        for picker in pickers:
            rotation = names - picker.split_rotation(live).out
            self.assertGreaterEqual(len(rotation), min(min_targets, len(live)))
            choice = picker.pick(live, set(), False)
            self.assertEqual(not live, choice is None)
            if choice is not None:
                self.assertIn(choice.target.worker, rotation)
