"""Randomised fault schedules against the guarantees of an exchange."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import testtools

from sardinedoor_standins import faketarget
from sardinedoor_standins import faultgrid
from sardinedoor_standins import memlink

_SEEDS = 500

_probability = st.sampled_from([0.0, 0.05, 0.3, 0.8])
_frame_faults = st.builds(
    memlink.FrameFaults,
    lost=_probability,
    refused=_probability,
    doubled=_probability,
    delayed=_probability,
    truncated=_probability,
    longest_delay_s=st.sampled_from([0.003, 0.4, 0.6, 3.0]),
)
_target_faults = st.builds(
    faketarget.TargetFaults,
    lost_after_run=_probability,
    lost_before_run=_probability,
    truncated=_probability,
    crash=_probability,
    hang=_probability,
    service_s=st.sampled_from([0.001, 0.1, 0.6]),
)
_fault = st.builds(
    faultgrid.Fault,
    kind=st.sampled_from(faultgrid.Kind),
    frame=st.integers(1, 60),
    receiver=st.booleans(),
    steps=st.integers(0, 5),
    seconds=st.sampled_from([0.001, 0.1, 0.51, 2.0]),
)
_schedule = st.builds(
    faultgrid.Schedule,
    seed=st.integers(0, 1_000_000),
    frame_faults=_frame_faults,
    target_faults=_target_faults,
    faults=st.lists(_fault, max_size=8),
    policy=st.sampled_from(faultgrid.POLICIES),
    requests=st.integers(1, 15),
)


class FaultGridTest(testtools.TestCase):
    def test_seeded_schedules(self):
        total = faultgrid.Verdict()
        broken = {}
        for seed in range(_SEEDS):
            verdict = faultgrid.run(faultgrid.make_schedule(seed))
            total.add(verdict)
            if verdict.violations:
                broken[seed] = verdict
        self.assertEqual({}, broken)
        # The schedules reach all three outcomes.
        self.assertGreater(total.answered, _SEEDS)
        self.assertGreater(total.not_run, _SEEDS)
        self.assertGreater(total.unknown, _SEEDS)

    def test_a_schedule_is_deterministic(self):
        schedule = faultgrid.make_schedule(7)
        self.assertEqual(faultgrid.run(schedule), faultgrid.run(schedule))

    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(_schedule)
    def test_generated_schedules(self, schedule: faultgrid.Schedule):
        self.assertEqual(0, faultgrid.run(schedule).violations)
